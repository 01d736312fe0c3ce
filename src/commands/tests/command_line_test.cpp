// Tests dispatch, flags and the commands that work without a node.
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "commands/command_line.hpp"
#include "commands/tests/run_command_line.hpp"
#include "tables/tests/fixture.hpp"

using namespace yuccafall::commands;
using namespace yuccafall::commands::tests;
namespace fixture = yuccafall::tables::tests;

namespace {

// Creates a folder with valid tables, which is removed after the test.
class temporary_folder
{
public:
    temporary_folder()
    {
        REQUIRE(mkdtemp(path_.data()) != nullptr);
        write("routes.yaml", fixture::valid_routes);
        write("pools.yaml", fixture::valid_pools);
    }
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;
    ~temporary_folder()
    {
        remove("routes.yaml");
        remove("pools.yaml");
        std::remove(path_.c_str());
    }

    std::string const& path() const { return path_; }
    void write(std::string const& name, std::string const& text) const
    {
        std::ofstream(path_ + "/" + name) << text;
    }
    void remove(std::string const& name) const
    {
        std::remove((path_ + "/" + name).c_str());
    }

private:
    std::string path_ = "/tmp/yuccafall-test-XXXXXX";
};

void replace_first(std::string& text, std::string const& from,
                   std::string const& to)
{
    auto const position = text.find(from);
    REQUIRE(position != std::string::npos);
    text.replace(position, from.size(), to);
}

} // namespace

// Guards against an invalid command line that a script takes for a success.
TEST_CASE("a usage error prints one line and has exit code 64")
{
    struct invalid_call
    {
        std::vector<std::string> arguments;
        std::string message;
    };
    auto const it = GENERATE(values<invalid_call>({
        {{}, "no command given"},
        {{"chekc"}, "unknown command \"chekc\""},
        {{"help", "chekc"}, "unknown command \"chekc\""},
        {{"check"}, "check: the flag --tables is required"},
        {{"check", "--tables"}, "check: the flag --tables needs a value"},
        {{"check", "--tables="}, "check: the flag --tables needs a value"},
        {{"check", "--tables", "--json"}, "--tables needs a value"},
        {{"check", "--tables=.", "x"}, "check: 1 arguments given, 0 needed"},
        {{"check", "--tables=.", "--json=maybe"}, "\"maybe\" is not a value"},
        {{"check", "--tabels=."}, "check: unknown flag --tabels"},
        {{"check", "--node=1.2.3.4:5"}, "check: unknown flag --node"},
        {{"check", "--flagfile=x"}, "check: unknown flag --flagfile"},
        {{"diff", "a"}, "diff: 1 arguments given, 2 needed; usage: yuccafall"},
        {{"where", "--node=localhost:80"}, "is not an IPv4 address"},
        {{"where", "--node=127.0.0.1:1", "--revision=x"}, "\"x\" is not a"},
    }));
    auto const result = run(it.arguments);
    CAPTURE(result.err);
    REQUIRE(result.code == exit_code::usage);
    REQUIRE(result.out.empty());
    REQUIRE(result.err.find(it.message) != std::string::npos);
    REQUIRE(result.err.find('\n') == result.err.size() - 1);
}

TEST_CASE("help lists and describes each command")
{
    auto const overview = run({"help"});
    REQUIRE(overview.out == run({"--help"}).out);
    for (auto const& it : all_commands())
    {
        std::string const name(it.name);
        REQUIRE(overview.out.find("  " + name) != std::string::npos);
        auto const help = run({"help", name});
        REQUIRE(help.code == exit_code::success);
        REQUIRE(help.out.find("usage: yuccafall " + name) == 0);
        REQUIRE(help.out == run({name, "--help"}).out);
        for (auto const& flag : it.flags)
        {
            REQUIRE(help.out.find("--" + std::string(flag.name)) !=
                    std::string::npos);
        }
    }
    REQUIRE(run({"version"}).out.find("yuccafall ") == 0);
}

TEST_CASE("check prints every fault")
{
    temporary_folder const it;
    auto const valid = run({"check", "--tables=" + it.path()});
    REQUIRE(valid.code == exit_code::success);
    REQUIRE(valid.out == "valid: 2 routes, 2 pools\n");
    auto text = fixture::valid_routes;
    replace_first(text, "500ms", "5");
    replace_first(text, "POST", "POKE");
    it.write("routes.yaml", text);
    auto const invalid = run({"check", "--tables", it.path()});
    REQUIRE(invalid.code == exit_code::negative_result);
    REQUIRE(std::count(invalid.out.begin(), invalid.out.end(), '\n') == 2);
    REQUIRE(
        invalid.out.find("routes, line 7, row look-up, column deadline: \"5\" "
                         "is not a time") == 0);
    auto const json = run({"check", "--json", "--tables", it.path()});
    REQUIRE(json.code == exit_code::negative_result);
    REQUIRE(json.out.find(
                "{\"faults\":[{\"column\":\"deadline\",\"line\":7,") == 0);
    REQUIRE(json.out.find("\"valid\":false") != std::string::npos);
    it.write("routes.yaml", std::string(2'000'000, '#') + "\n");
    REQUIRE(run({"check", "--tables", it.path()}).out ==
            "routes, line 1: the table is larger than 1000000 bytes\n");
    it.remove("pools.yaml");
    auto const missing = run({"check", "--tables", it.path()});
    REQUIRE(missing.code == exit_code::unreadable_input);
    REQUIRE(missing.err.find("pools.yaml: No such file") != std::string::npos);
}

TEST_CASE("diff prints one line for each row that differs")
{
    temporary_folder const before;
    temporary_folder const after;
    REQUIRE(run({"diff", before.path(), after.path()}).out.empty());
    auto text = fixture::valid_pools;
    replace_first(text, "slots: 6", "slots: 8");
    after.write("pools.yaml", text);
    auto const changed = run({"diff", before.path(), after.path()});
    REQUIRE(changed.code == exit_code::success);
    REQUIRE(changed.out == "pools catalogue changed: slots 6 -> 8\n");
    REQUIRE(run({"diff", before.path(), after.path(), "--json"}).out ==
            "{\"changes\":[{\"cells\":[{\"after\":\"8\",\"before\":\"6\","
            "\"column\":\"slots\"}],\"change\":\"changed\",\"row\":"
            "\"catalogue\",\"table\":\"pools\"}]}\n");
    after.write("pools.yaml", "[]\n");
    auto const invalid = run({"diff", before.path(), after.path()});
    REQUIRE(invalid.code == exit_code::invalid_tables);
    REQUIRE(invalid.out.empty());
    REQUIRE(invalid.err.find(after.path() + ": routes, line 6, ") == 0);
}

TEST_CASE("trace prints the log lines about a request")
{
    temporary_folder logs_folder;
    logs_folder.write(
        "routes.yaml",
        "time_ms=10 level=info event=call_moved request=q from=w\n"
        "this is not a log line\n"
        "time_ms=25 level=info event=call_ended request=q kind=overloaded "
        "reason=\"\"\n");
    auto const logs = "--logs=" + logs_folder.path() + "/routes.yaml";
    auto const found = run({"trace", logs, "q"});
    REQUIRE(found.code == exit_code::success);
    REQUIRE(found.out.find("call_moved request=q from=w") != std::string::npos);
    REQUIRE(found.out.find("did not run") != std::string::npos);
    REQUIRE(run({"trace", logs, "unknown"}).code == exit_code::negative_result);
    REQUIRE(run({"trace", logs + ",/nowhere", "q"}).code ==
            exit_code::unreadable_input);
    auto const json = run({"trace", logs, "q", "--json"});
    REQUIRE(json.out.find("\"conclusion\":\"overloaded") != std::string::npos);
}
