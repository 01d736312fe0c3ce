// Parses the arguments of a command one by one.
#include "commands/flag_parser.hpp"

#include <algorithm>
#include <optional>
#include <set>

#include <fmt/format.h>
#include <gflags/gflags.h>

namespace yuccafall::commands {

namespace {

struct parsed_flag
{
    std::string name;
    std::optional<std::string> value;
};

tl::unexpected<std::string> parse_error(std::string message)
{
    return tl::unexpected<std::string>(std::move(message));
}

// Returns nothing if the argument is not a flag. A single "-" is not a flag.
std::optional<parsed_flag> parse_flag_argument(std::string_view argument)
{
    if (argument.size() < 2 || argument[0] != '-')
    {
        return std::nullopt;
    }
    argument.remove_prefix(argument[1] == '-' ? 2 : 1);
    auto const equals = argument.find('=');
    parsed_flag it{std::string(argument.substr(0, equals)), std::nullopt};
    if (equals != std::string_view::npos)
    {
        it.value = std::string(argument.substr(equals + 1));
    }
    return it;
}

class flag_parser
{
public:
    flag_parser(command const& it, std::vector<std::string> const& arguments)
        : command_(it), arguments_(arguments)
    {}

    tl::expected<positional_arguments, std::string> parse()
    {
        while (next_index_ < arguments_.size())
        {
            auto const& argument = arguments_[next_index_++];
            if (argument == "--")
            {
                positional_arguments_.insert(positional_arguments_.end(),
                                             arguments_.begin() + next_offset(),
                                             arguments_.end());
                break;
            }
            auto const flag = parse_flag_argument(argument);
            if (!flag)
            {
                positional_arguments_.push_back(argument);
                continue;
            }
            if (auto const result = set_flag(*flag); !result)
            {
                return parse_error(result.error());
            }
        }
        return check_required_flags();
    }

private:
    std::ptrdiff_t next_offset() const
    {
        return static_cast<std::ptrdiff_t>(next_index_);
    }

    bool is_accepted(std::string const& name) const
    {
        return std::any_of(command_.flags.begin(), command_.flags.end(),
                           [&](accepted_flag const& accepted) {
                               return accepted.name == name;
                           });
    }

    tl::expected<void, std::string> set_flag(parsed_flag const& flag)
    {
        gflags::CommandLineFlagInfo info;
        if (!is_accepted(flag.name) ||
            !gflags::GetCommandLineFlagInfo(flag.name.c_str(), &info))
        {
            return parse_error(fmt::format("unknown flag --{}", flag.name));
        }
        auto const value = flag_value(flag, info.type == "bool");
        if (!value || value->empty())
        {
            return parse_error(
                fmt::format("the flag --{} needs a value", flag.name));
        }
        if (gflags::SetCommandLineOption(flag.name.c_str(), value->c_str())
                .empty())
        {
            return parse_error(
                fmt::format("\"{}\" is not a value of type {} for "
                            "the flag --{}",
                            *value, info.type, flag.name));
        }
        given_flags_.insert(flag.name);
        return {};
    }

    // Returns nothing if the flag has no value.
    std::optional<std::string> flag_value(parsed_flag const& flag, bool is_bool)
    {
        if (flag.value)
        {
            return flag.value;
        }
        if (is_bool)
        {
            return "true";
        }
        // The next argument is the value unless it is itself a flag.
        if (next_index_ == arguments_.size() ||
            parse_flag_argument(arguments_[next_index_]))
        {
            return std::nullopt;
        }
        return arguments_[next_index_++];
    }

    // Returns the positional arguments, or fails if a required flag is missing.
    tl::expected<positional_arguments, std::string> check_required_flags()
    {
        for (auto const& accepted : command_.flags)
        {
            if (accepted.is_required &&
                given_flags_.count(std::string(accepted.name)) == 0)
            {
                return parse_error(
                    fmt::format("the flag --{} is required", accepted.name));
            }
        }
        return std::move(positional_arguments_);
    }

    command const& command_;
    std::vector<std::string> const& arguments_;
    std::size_t next_index_ = 0;
    positional_arguments positional_arguments_;
    std::set<std::string> given_flags_;
};

} // namespace

tl::expected<positional_arguments, std::string>
parse_flags(command const& it, std::vector<std::string> const& arguments)
{
    return flag_parser(it, arguments).parse();
}

} // namespace yuccafall::commands
