// Asks a node over the HTTP interface that it offers to operators.
#ifndef YUCCAFALL_COMMANDS_ADMIN_CLIENT_HPP
#define YUCCAFALL_COMMANDS_ADMIN_CLIENT_HPP

#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "commands/command.hpp"
#include "core/error.hpp"

namespace yuccafall::commands {

struct admin_query
{
    std::string path;
    std::vector<std::pair<std::string, std::string>> parameters;
};

struct admin_answer
{
    std::string body;
    nlohmann::json json;
};

// The node is IP:PORT. Fails with bad_request for another form of address and
// with io where the node does not answer with a JSON object within 5 s. The
// status is not looked at: the object says what went wrong.
core::result<admin_answer> ask_node(std::string const& node,
                                    admin_query const& query);

// Asks the node of the flag --node and hands the answer to `print`, which
// writes it and says how the command ends. With --json the body is printed as
// it is in place of what `print` writes.
using answer_printer = exit_code (*)(nlohmann::json const& it,
                                     std::ostream& out);

exit_code run_query(admin_query const& query, answer_printer print,
                    terminal& to);

// The list under the key. Throws where there is none, as at() does.
nlohmann::json const& rows_of(nlohmann::json const& it, char const* key);

// The text of a JSON value; strings without their quotes.
std::string plain_text(nlohmann::json const& it);

} // namespace yuccafall::commands

#endif
