// Reports the CPU time and the memory that this process uses.
#ifndef YUCCAFALL_ADMIN_PROCESS_USAGE_HPP
#define YUCCAFALL_ADMIN_PROCESS_USAGE_HPP

#include "core/units.hpp"

namespace yuccafall::admin {

struct process_usage
{
    core::duration cpu_time{};
    core::byte_count resident_memory;
};

process_usage read_process_usage();

} // namespace yuccafall::admin

#endif
