// Defines the flags. The table in command_table.cpp lists the flags that each
// command accepts.
#include "commands/flags.hpp"

DEFINE_string(against, "", "JSON file with the configuration in force");
DEFINE_string(configuration, "", "JSON file with an operator's configuration");
DEFINE_bool(json, false, "print JSON instead of text");
DEFINE_string(logs, "",
              "log files, separated by commas; default: standard input");
DEFINE_string(node, "", "IP:PORT of the admin interface of a node");
DEFINE_uint64(revision, 0, "revision to look for; 0 for the latest");
DEFINE_string(settings, "", "YAML file with the settings of a node");
DEFINE_string(tables, "", "folder with routes.yaml and pools.yaml");
