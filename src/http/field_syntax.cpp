// Implements the checks of header fields.
#include "http/field_syntax.hpp"

#include <algorithm>

namespace yuccafall::http {

bool is_token(std::string_view text)
{
    auto const is_token_byte = [](char c) {
        constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
               (c >= 'A' && c <= 'Z') ||
               symbols.find(c) != std::string_view::npos;
    };
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), is_token_byte);
}

bool is_free_of_control_bytes(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) {
        constexpr char delete_byte = 0x7f;
        auto const byte = static_cast<unsigned char>(c);
        return (byte < ' ' && c != '\t') || c == delete_byte;
    });
}

} // namespace yuccafall::http
