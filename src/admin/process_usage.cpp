// Reads the resource usage of this process from the kernel.
#include "admin/process_usage.hpp"

#include <fstream>

#include <sys/resource.h>
#include <unistd.h>

namespace yuccafall::admin {

namespace {

core::duration to_duration(timeval const& it)
{
    return std::chrono::seconds(it.tv_sec) +
           std::chrono::microseconds(it.tv_usec);
}

} // namespace

process_usage read_process_usage()
{
    process_usage it;
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0)
    {
        it.cpu_time = to_duration(usage.ru_utime) + to_duration(usage.ru_stime);
    }
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
    it.resident_memory = core::byte_count(
        resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)));
    return it;
}

} // namespace yuccafall::admin
