// Tests the check of a configuration file before it is sent.
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <catch2/catch.hpp>

#include "commands/tests/run_command_line.hpp"
#include "platform/tests/operator_configuration.hpp"

using namespace yuccafall::commands;
using namespace yuccafall::commands::tests;
using yuccafall::platform::tests::operator_configuration;

namespace {

// Holds the text in a file, which is removed after the test.
class temporary_file
{
public:
    explicit temporary_file(std::string const& text)
    {
        auto const descriptor = mkstemp(path_.data());
        REQUIRE(descriptor >= 0);
        std::fclose(fdopen(descriptor, "w"));
        std::ofstream(path_) << text;
    }
    temporary_file(temporary_file const&) = delete;
    temporary_file& operator=(temporary_file const&) = delete;
    ~temporary_file() { std::remove(path_.c_str()); }

    std::string const& path() const { return path_; }

private:
    std::string path_ = "/tmp/yuccafall-test-XXXXXX";
};

} // namespace

// Guards against a script that takes a finding, a refused configuration or a
// missing file for one another.
TEST_CASE("precheck tells findings, refusals and missing files apart")
{
    temporary_file const valid(operator_configuration(R"([{"name":"s"}])"));
    auto it = run({"precheck", "--configuration=" + valid.path()});
    REQUIRE(it.code == exit_code::success);
    REQUIRE(it.out.empty());

    temporary_file const unused(
        operator_configuration(R"([{"name":"s"},{"name":"t"}])"));
    it = run({"precheck", "--configuration=" + unused.path()});
    REQUIRE(it.code == exit_code::negative_result);
    REQUIRE(it.out == "service \"t\": no route has it as a target\n");

    temporary_file const refused(
        operator_configuration(R"([{"name":"s"}])", "/a"));
    it = run({"precheck", "--configuration=" + refused.path()});
    REQUIRE(it.code == exit_code::invalid_tables);
    REQUIRE(it.out.empty());
    REQUIRE(it.err == refused.path() + ": \"prefix\" does not begin and end "
                                       "with a slash\n");

    it = run({"precheck", "--configuration=/nonexistent"});
    REQUIRE(it.code == exit_code::unreadable_input);
}

// Guards against a configuration that is sent although nodes ignore it, and
// against a script that takes an intended difference for a finding.
TEST_CASE("precheck compares with the configuration in force")
{
    temporary_file const in_force(operator_configuration(R"([{"name":"s"}])"));
    auto text = operator_configuration(R"([{"name":"s"}])", "/b/");
    temporary_file const same_version(text);
    text.replace(text.find(R"("version":7)"), 11, R"("version":8)");
    temporary_file const next(text);

    auto it = run({"precheck", "--configuration=" + next.path(),
                   "--against=" + in_force.path()});
    REQUIRE(it.code == exit_code::success);
    REQUIRE(it.out == "route \"r\" removed\nroute \"r\" added\n");
    it = run({"precheck", "--configuration=" + same_version.path(),
              "--against=" + in_force.path()});
    REQUIRE(it.code == exit_code::negative_result);
    it = run({"precheck", "--configuration=" + next.path(),
              "--against=/nonexistent"});
    REQUIRE(it.code == exit_code::unreadable_input);
}
