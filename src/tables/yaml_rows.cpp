// Builds rows from the events of yaml-cpp's parser. Events are used rather than
// yaml-cpp's nodes because the parser emits them before it expands an alias and
// because they carry exact line numbers.
#include "tables/yaml_rows.hpp"

#include <sstream>

#include <fmt/format.h>
#include <yaml-cpp/anchor.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

namespace yuccafall::tables {

namespace {

// Exception that ends parsing early. It is caught in read_rows.
struct parsing_aborted
{};

line_number line_of(YAML::Mark const& mark)
{
    auto const line = mark.line < 0 ? 0 : mark.line;
    return line_number(static_cast<std::uint32_t>(line) + 1);
}

class row_collector : public YAML::EventHandler
{
public:
    explicit row_collector(fault_list& faults) : faults_(faults) {}

    std::vector<raw_row> take() { return std::move(rows_); }
    bool has_document() const { return document_count_ > 0; }

    void OnDocumentStart(YAML::Mark const& mark) override
    {
        if (++document_count_ > 1)
        {
            abort_parsing(mark, "the text holds more than one YAML document");
        }
    }

    void OnDocumentEnd() override {}

    void OnNull(YAML::Mark const& mark, YAML::anchor_t anchor) override
    {
        check_node(mark, "", anchor);
        // The mark of an absent value is that of the next token, which may be
        // on a later line. The line of the column name is used instead, since
        // the operator looks there.
        handle_scalar(current_cell_ ? current_cell_->line : line_of(mark), "");
    }

    void OnAlias(YAML::Mark const& mark, YAML::anchor_t) override
    {
        report(mark, "an alias is not allowed");
        handle_scalar(line_of(mark), "");
    }

    void OnScalar(YAML::Mark const& mark, std::string const& tag,
                  YAML::anchor_t anchor, std::string const& text) override
    {
        check_node(mark, tag, anchor);
        handle_scalar(line_of(mark), text);
    }

    void OnSequenceStart(YAML::Mark const& mark, std::string const& tag,
                         YAML::anchor_t anchor,
                         YAML::EmitterStyle::value) override
    {
        check_node(mark, tag, anchor);
        begin_collection(mark, true);
    }

    void OnSequenceEnd() override { end_collection(); }

    void OnMapStart(YAML::Mark const& mark, std::string const& tag,
                    YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        check_node(mark, tag, anchor);
        begin_collection(mark, false);
    }

    void OnMapEnd() override { end_collection(); }

private:
    // The role of an open collection. Invariant: table, row and cell_list occur
    // in levels_ only at the index that equals their position in this list, and
    // every collection inside an ignored one is ignored too.
    enum class level
    {
        table,
        row,
        cell_list,
        ignored,
    };

    void report(YAML::Mark const& mark, std::string message)
    {
        report(line_of(mark), std::move(message));
    }

    void report(line_number line, std::string message)
    {
        row_reference row;
        if (levels_.size() > 1)
        {
            row = row_number(row_count_);
        }
        faults_.add(std::move(row), line, {}, std::move(message));
    }

    [[noreturn]] void abort_parsing(YAML::Mark const& mark, std::string message)
    {
        report(mark, std::move(message));
        throw parsing_aborted{};
    }

    void check_node(YAML::Mark const& mark, std::string const& tag,
                    YAML::anchor_t anchor)
    {
        if (anchor != YAML::NullAnchor)
        {
            report(mark, "an anchor is not allowed");
        }
        // yaml-cpp reports the tag "?" for plain scalars and "!" for quoted
        // ones.
        if (!tag.empty() && tag != "?" && tag != "!")
        {
            report(mark, "a tag is not allowed");
        }
    }

    void begin_collection(YAML::Mark const& mark, bool is_list)
    {
        if (levels_.size() == max_nesting_depth)
        {
            abort_parsing(mark, fmt::format("nesting is deeper than {} levels",
                                            max_nesting_depth));
        }
        levels_.push_back(level_of_collection(mark, is_list));
    }

    level level_of_collection(YAML::Mark const& mark, bool is_list)
    {
        if (levels_.empty())
        {
            return open_table(mark, is_list);
        }
        switch (levels_.back())
        {
        case level::table:
            return open_row(mark, is_list);
        case level::row:
            return open_cell(mark, is_list);
        case level::cell_list:
            current_cell_->value = raw_nested{};
            return level::ignored;
        case level::ignored:
            break;
        }
        return level::ignored;
    }

    level open_table(YAML::Mark const& mark, bool is_list)
    {
        if (is_list)
        {
            return level::table;
        }
        report(mark, "the table is not a list of rows");
        return level::ignored;
    }

    level open_row(YAML::Mark const& mark, bool is_list)
    {
        ++row_count_;
        if (is_list)
        {
            report_invalid_row(line_of(mark));
            return level::ignored;
        }
        rows_.push_back({row_number(row_count_), line_of(mark), {}});
        return level::row;
    }

    level open_cell(YAML::Mark const& mark, bool is_list)
    {
        if (!current_cell_)
        {
            report(mark, "a column name is not text");
            return level::ignored;
        }
        current_cell_->line = line_of(mark);
        if (is_list)
        {
            current_cell_->value = raw_list{};
            return level::cell_list;
        }
        current_cell_->value = raw_nested{};
        return level::ignored;
    }

    void end_collection()
    {
        levels_.pop_back();
        if (!levels_.empty() && levels_.back() == level::row)
        {
            end_row_part();
        }
    }

    // Handles the end of a value, or of a column name that is not a scalar. The
    // events of a row alternate between column names and values.
    void end_row_part()
    {
        if (!current_cell_)
        {
            // The column name is not a scalar, which has been reported. The
            // value that follows is skipped.
            current_cell_.emplace();
            skip_value_ = true;
            return;
        }
        if (!skip_value_)
        {
            rows_.back().cells.push_back(std::move(*current_cell_));
        }
        current_cell_.reset();
        skip_value_ = false;
    }

    void handle_scalar(line_number line, std::string const& text)
    {
        if (levels_.empty())
        {
            report(line, "the table is not a list of rows");
            return;
        }
        switch (levels_.back())
        {
        case level::table:
            ++row_count_;
            report_invalid_row(line);
            return;
        case level::row:
            handle_row_scalar(line, text);
            return;
        case level::cell_list:
            add_list_item(line, text);
            return;
        case level::ignored:
            return;
        }
    }

    void handle_row_scalar(line_number line, std::string const& text)
    {
        if (!current_cell_)
        {
            current_cell_ = raw_cell{line, text, raw_scalar{}};
            return;
        }
        current_cell_->value = raw_scalar{line, text};
        end_row_part();
    }

    void add_list_item(line_number line, std::string const& text)
    {
        if (auto* list = std::get_if<raw_list>(&current_cell_->value))
        {
            list->push_back({line, text});
        }
    }

    void report_invalid_row(line_number line)
    {
        faults_.add(row_number(row_count_), line, {},
                    "the row is not a map of columns");
    }

    fault_list& faults_;
    std::vector<raw_row> rows_;
    std::vector<level> levels_;
    std::uint32_t row_count_ = 0;
    std::uint32_t document_count_ = 0;
    // Set between a column name and the end of its value.
    std::optional<raw_cell> current_cell_;
    // Whether the value of a column without a valid name is being skipped.
    bool skip_value_ = false;
};

void handle_documents(std::string const& text, row_collector& collector)
{
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    while (parser.HandleNextDocument(collector))
    {}
}

} // namespace

std::optional<std::vector<raw_row>> read_rows(std::string const& text,
                                              fault_list& faults)
{
    auto const before = faults;
    row_collector collector(faults);
    try
    {
        handle_documents(text, collector);
    }
    catch (parsing_aborted const&)
    {
        return std::nullopt;
    }
    catch (YAML::Exception const& e)
    {
        // Before yaml-cpp detects that a text is truncated, it emits events
        // that the complete text would not have produced. The faults that
        // result from those events are discarded.
        faults = before;
        faults.add({}, line_of(e.mark), {},
                   fmt::format("the YAML is invalid or truncated: {}", e.msg));
        return std::nullopt;
    }
    if (!collector.has_document())
    {
        faults.add({}, line_number(1), {},
                   "the table is empty; a table without rows is written []");
        return std::nullopt;
    }
    return collector.take();
}

} // namespace yuccafall::tables
