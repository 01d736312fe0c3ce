// Sends requests to the admin interface of a node over HTTP.
#ifndef YUCCAFALL_COMMANDS_ADMIN_CLIENT_HPP
#define YUCCAFALL_COMMANDS_ADMIN_CLIENT_HPP

#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "commands/command.hpp"
#include "core/error.hpp"

namespace yuccafall::commands {

struct admin_request
{
    std::string path;
    std::vector<std::pair<std::string, std::string>> parameters;
};

struct admin_response
{
    std::string body;
    nlohmann::json json;
};

// The node is given as IP:PORT. Fails with bad_request if the address has
// another form, and with io if the response is missing or is not a JSON object.
// Connecting and waiting for the response may take 5 s each. The HTTP status is
// ignored, since the object says what went wrong.
core::result<admin_response> send_admin_request(std::string const& node,
                                                admin_request const& request);

// Writes the response to `out` and returns the exit code of the command.
using response_printer = exit_code (*)(nlohmann::json const& it,
                                       std::ostream& out);

// Sends the request to the node of the flag --node and passes the response to
// `print`. With --json the body of the response is printed unchanged instead of
// the text that `print` writes.
exit_code run_admin_request(admin_request const& request,
                            response_printer print, output_streams& streams);

// Returns the array with the given key. Throws an exception of nlohmann::json
// if there is none.
nlohmann::json const& array_at(nlohmann::json const& it, char const* key);

// Returns the text of a JSON value. Strings have no quotes around them.
std::string plain_text(nlohmann::json const& it);

} // namespace yuccafall::commands

#endif
