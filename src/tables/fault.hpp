// Defines a fault in a table: where it is and what is wrong.
#ifndef YUCCAFALL_TABLES_FAULT_HPP
#define YUCCAFALL_TABLES_FAULT_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/strong.hpp"

namespace yuccafall::tables {

enum class table_kind
{
    routes,
    pools,
};

std::string_view to_string(table_kind it) noexcept;

// Line numbers and row numbers start at 1.
using line_number = core::strong<struct line_number_tag, std::uint32_t>;
using row_number = core::strong<struct row_number_tag, std::uint32_t>;
using row_name = core::strong<struct row_name_tag, std::string>;
using column_name = core::strong<struct column_name_tag, std::string>;

// Refers to a row by its name, or by its number if the row has no valid name.
// The reference is empty for a fault of the whole table.
using row_reference = std::variant<std::monostate, row_number, row_name>;

// Returns the name, the number such as "3", or "" for an empty reference.
std::string to_string(row_reference const& it);

struct fault
{
    table_kind table = table_kind::routes;
    row_reference row;
    line_number line;
    // Empty for a fault of the whole row or the whole table.
    column_name column;
    // ASCII without control characters, whatever bytes the table contains.
    std::string message;
};

bool operator==(fault const& a, fault const& b);

// Returns a line such as
// "routes, line 12, row search, column deadline: MESSAGE".
std::string to_text(fault const& it);

// Returns a value of a table between double quotes, truncated to 48 bytes.
// Every byte outside of printable ASCII is escaped, so that a message with the
// value is safe to print.
std::string quoted(std::string_view value);

// Collects the faults of one table.
class fault_list
{
public:
    // Without a limit, an invalid table of 1 MB would produce a million faults,
    // which need more memory than a node may use for control.
    static constexpr std::size_t max_faults = 1000;

    explicit fault_list(table_kind table) : table_kind_(table) {}

    void add(row_reference row, line_number line, column_name column,
             std::string message);
    bool empty() const { return faults_.empty(); }

    // Returns the faults ordered by line. If more than max_faults faults were
    // found, the last entry says how many are omitted.
    std::vector<fault> take();

private:
    table_kind table_kind_;
    std::vector<fault> faults_;
    std::size_t omitted_count_ = 0;
};

} // namespace yuccafall::tables

#endif
