// Implements `precheck`, which checks an operator's configuration before it is
// sent to the store. It sends nothing.
#include <ostream>

#include <fmt/ostream.h>

#include "commands/commands.hpp"
#include "commands/flags.hpp"
#include "commands/table_files.hpp"
#include "platform/store_values.hpp"
#include "precheck/check_configuration.hpp"

namespace yuccafall::commands {

exit_code run_precheck(positional_arguments const&, output_streams& streams)
{
    auto const text =
        read_file(FLAGS_configuration, max_configuration_file_size);
    if (!text)
    {
        fmt::print(streams.err, "yuccafall: {}\n", text.error().detail);
        return exit_code::unreadable_input;
    }
    if (core::byte_count(text->size()) > max_configuration_file_size)
    {
        fmt::print(streams.err, "yuccafall: {} is larger than {} bytes\n",
                   FLAGS_configuration, max_configuration_file_size.value());
        return exit_code::unreadable_input;
    }
    auto const it = platform::decode_configuration(*text);
    if (!it)
    {
        fmt::print(streams.err, "{}: {}\n", FLAGS_configuration,
                   it.error().detail);
        return exit_code::invalid_tables;
    }
    auto const findings = precheck::check_configuration(*it);
    for (auto const& finding : findings)
    {
        fmt::print(streams.out, "{}\n", precheck::to_text(finding));
    }
    return findings.empty() ? exit_code::success : exit_code::negative_result;
}

} // namespace yuccafall::commands
