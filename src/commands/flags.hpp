// Declares the flags of all commands.
#ifndef YUCCAFALL_COMMANDS_FLAGS_HPP
#define YUCCAFALL_COMMANDS_FLAGS_HPP

#include <gflags/gflags.h>

DECLARE_string(against);
DECLARE_string(configuration);
DECLARE_bool(json);
DECLARE_string(logs);
DECLARE_string(node);
DECLARE_uint64(revision);
DECLARE_string(settings);
DECLARE_string(tables);

#endif
