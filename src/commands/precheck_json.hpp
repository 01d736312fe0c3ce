// Encodes the findings about a configuration and its differences from another
// one as JSON.
#ifndef YUCCAFALL_COMMANDS_PRECHECK_JSON_HPP
#define YUCCAFALL_COMMANDS_PRECHECK_JSON_HPP

#include <vector>

#include <nlohmann/json.hpp>

#include "precheck/compare_configurations.hpp"
#include "precheck/findings.hpp"

namespace yuccafall::commands {

// Returns an array of {finding, message} with the "route" or "service" that the
// finding is about, if any.
nlohmann::json to_json(std::vector<precheck::finding> const& findings);

// Returns an array of {change, message} with the "route" or "service", if any,
// and for changed ones "fields", an array of {field, before, after}.
nlohmann::json to_json(std::vector<precheck::difference> const& differences);

} // namespace yuccafall::commands

#endif
