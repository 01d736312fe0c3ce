// Checks the status and the fields of a response.
#include "http/response_check.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "http/field_syntax.hpp"

namespace yuccafall::http {

std::optional<invalid_response> find_head_fault(response const& it)
{
    constexpr int first_final_status = 200;
    if (!is_valid_status(it.status) || it.status < first_final_status)
    {
        return invalid_response{
            response_fault::status,
            fmt::format("the status {:03} is not valid", it.status)};
    }
    bool const fields_are_valid =
        std::all_of(it.headers.begin(), it.headers.end(), [](header const& h) {
            return is_token(h.name) && is_free_of_control_bytes(h.value);
        });
    if (!fields_are_valid)
    {
        return invalid_response{response_fault::field,
                                "a field of the response is malformed"};
    }
    return std::nullopt;
}

} // namespace yuccafall::http
