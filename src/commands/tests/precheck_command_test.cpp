// Tests the check of a configuration file before it is sent.
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <catch2/catch.hpp>

#include "commands/tests/fake_node.hpp"
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

// Guards against a comparison with a file that is no longer in force, and
// against a node that cannot say what is in force being taken for one without
// differences.
TEST_CASE("precheck compares with the configuration in force at a node")
{
    auto text = operator_configuration(R"([{"name":"s"}])", "/b/");
    text.replace(text.find(R"("version":7)"), 11, R"("version":8)");
    temporary_file const next(text);
    auto const flag = "--configuration=" + next.path();

    fake_node node(operator_configuration(R"([{"name":"s"}])"));
    auto it = run({"precheck", flag, node.flag()});
    REQUIRE(it.code == exit_code::success);
    REQUIRE(it.out == "route \"r\" removed\nroute \"r\" added\n");
    REQUIRE(node.request_line() == "GET /configuration HTTP/1.1");

    fake_node without(R"({"error":"no_configuration","reason":"none yet"})");
    it = run({"precheck", flag, without.flag()});
    REQUIRE(it.code == exit_code::unavailable);
    REQUIRE(it.out.empty());
    REQUIRE(it.err.find("none yet") != std::string::npos);

    fake_node other_program(R"({"revision":7})");
    it = run({"precheck", flag, other_program.flag()});
    REQUIRE(it.code == exit_code::unavailable);
    REQUIRE(it.out.empty());

    it = run(
        {"precheck", flag, "--node=127.0.0.1:1", "--against=" + next.path()});
    REQUIRE(it.code == exit_code::usage);
}

// Guards against a script that has to parse the text for operators.
TEST_CASE("precheck prints findings and differences as JSON")
{
    temporary_file const in_force(operator_configuration(R"([{"name":"s"}])"));
    temporary_file const next(
        operator_configuration(R"([{"name":"s"},{"name":"t"}])"));
    auto const it = run({"precheck", "--configuration=" + next.path(),
                         "--against=" + in_force.path(), "--json"});
    REQUIRE(it.code == exit_code::negative_result);
    REQUIRE(it.out ==
            R"({"differences":[{"change":"version_not_higher","message":)"
            R"("version 7 is not higher than 7, which is in force; nodes )"
            R"(ignore it"},{"change":"service_added","message":)"
            R"("service \"t\" added","service":"t"}],"findings":[{"finding":)"
            R"("unused_service","message":"service \"t\": no route has it as )"
            R"(a target","service":"t"}]})"
            "\n");
}
