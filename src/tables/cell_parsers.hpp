// Parses the text of one cell. Each function returns the value, or a message
// that says what is wrong with the text.
#ifndef YUCCAFALL_TABLES_CELL_PARSERS_HPP
#define YUCCAFALL_TABLES_CELL_PARSERS_HPP

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "core/units.hpp"
#include "tables/tables.hpp"

namespace yuccafall::tables {

template <class T>
using parse_result = tl::expected<T, std::string>;

// A route with the method "*" matches these methods.
inline constexpr std::array<std::string_view, 7> known_methods{
    "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"};

bool is_known_method(std::string_view method) noexcept;

inline constexpr std::size_t max_name_length = 63;
inline constexpr std::size_t max_host_length = 253;
inline constexpr std::size_t max_path_length = 1024;
inline constexpr core::milliseconds min_deadline{50};
inline constexpr core::milliseconds max_deadline{600'000};

parse_result<std::string> parse_name(std::string_view text);
parse_result<std::string> parse_host(std::string_view text);
parse_result<std::string> parse_path(std::string_view text);
parse_result<std::string> parse_method(std::string_view text);
parse_result<core::milliseconds> parse_deadline(std::string_view text);
parse_result<bool> parse_bool(std::string_view text);
parse_result<work_class> parse_work_class(std::string_view text);
parse_result<core::percentage> parse_percentage(std::string_view text);

// Parses a whole number in the range [lowest, highest].
parse_result<std::uint32_t>
parse_count(std::string_view text, std::uint32_t lowest, std::uint32_t highest);

std::string_view to_string(work_class it) noexcept;

// Returns the time in the largest unit that gives a whole number, such as
// "500ms", "2s" or "10m".
std::string to_string(core::milliseconds it);

} // namespace yuccafall::tables

#endif
