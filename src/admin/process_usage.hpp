// Reports the CPU time and the memory that this process uses.
#ifndef YUCCAFALL_ADMIN_PROCESS_USAGE_HPP
#define YUCCAFALL_ADMIN_PROCESS_USAGE_HPP

#include "core/units.hpp"

namespace yuccafall::admin {

struct process_usage
{
    core::duration processor_time{};
    core::byte_count resident;
};

process_usage usage_of_process();

} // namespace yuccafall::admin

#endif
