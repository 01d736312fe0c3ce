// Formats faults as text and collects the faults of a table.
#include "tables/fault.hpp"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>

#include "core/overloaded.hpp"

namespace yuccafall::tables {

namespace {

constexpr std::size_t max_quoted_length = 48;

std::string escape_character(char c)
{
    if (c == '"' || c == '\\')
    {
        return fmt::format("\\{}", c);
    }
    if (c < ' ' || c > '~')
    {
        return fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    }
    return std::string(1, c);
}

} // namespace

std::string_view to_string(table_kind it) noexcept
{
    return it == table_kind::routes ? "routes" : "pools";
}

std::string to_string(row_reference const& it)
{
    return std::visit(
        core::overloaded{
            [](std::monostate) { return std::string(); },
            [](row_number const& n) { return std::to_string(n.value()); },
            [](row_name const& name) { return name.value(); }},
        it);
}

bool operator==(fault const& a, fault const& b)
{
    return std::tie(a.table, a.row, a.line, a.column, a.message) ==
           std::tie(b.table, b.row, b.line, b.column, b.message);
}

std::string to_text(fault const& it)
{
    auto text =
        fmt::format("{}, line {}", to_string(it.table), it.line.value());
    if (auto const row = to_string(it.row); !row.empty())
    {
        text += fmt::format(", row {}", row);
    }
    if (!it.column.value().empty())
    {
        text += fmt::format(", column {}", it.column.value());
    }
    return fmt::format("{}: {}", text, it.message);
}

std::string quoted(std::string_view value)
{
    std::string text = "\"";
    for (char const c : value.substr(0, max_quoted_length))
    {
        text += escape_character(c);
    }
    text += value.size() > max_quoted_length ? "...\"" : "\"";
    return text;
}

void fault_list::add(row_reference row, line_number line, column_name column,
                     std::string message)
{
    if (faults_.size() == max_faults)
    {
        ++omitted_count_;
        return;
    }
    faults_.push_back({table_kind_, std::move(row), line, std::move(column),
                       std::move(message)});
}

std::vector<fault> fault_list::take()
{
    std::stable_sort(
        faults_.begin(), faults_.end(),
        [](fault const& a, fault const& b) { return a.line < b.line; });
    if (omitted_count_ > 0)
    {
        auto const line = faults_.back().line;
        faults_.push_back(
            {table_kind_,
             {},
             line,
             {},
             fmt::format("{} more faults are left out", omitted_count_)});
        omitted_count_ = 0;
    }
    return std::move(faults_);
}

} // namespace yuccafall::tables
