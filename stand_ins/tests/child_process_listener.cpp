// Kills the child processes of a test program when SIGTERM or SIGINT ends it.
// The programs of all tests that start nodes contain this file.
// Catch2 declares its listeners only with this macro.
#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>

#include "stand_ins/child_process.hpp"

namespace {

class child_process_listener : public Catch::TestEventListenerBase
{
public:
    using Catch::TestEventListenerBase::TestEventListenerBase;

    // Catch2 calls this before the first test, so no other thread runs yet.
    void testRunStarting(Catch::TestRunInfo const& it) override
    {
        Catch::TestEventListenerBase::testRunStarting(it);
        yuccafall::stand_ins::kill_children_on_signal();
    }
};

CATCH_REGISTER_LISTENER(child_process_listener)

} // namespace
