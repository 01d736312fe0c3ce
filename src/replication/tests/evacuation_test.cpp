// Tests that an evacuation reaches all nodes and is taken back at all of them
// while nodes restart and the store is down.
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "replication/tests/simulated_mesh.hpp"

using namespace yuccafall;
using namespace yuccafall::replication;

namespace {

// The replicator does not interpret keys. This one stands for an evacuation.
char const evacuation[] = "evacuate";

class evacuated_mesh
{
public:
    explicit evacuated_mesh(std::uint64_t seed)
        : random_(seed), nodes_(3, 3, seed)
    {
        run_for(5'000);
    }

    void set_store_down(bool down)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            nodes_.cut_store(i, down);
        }
    }

    void set_evacuated(bool evacuated)
    {
        is_evacuated_ = evacuated;
        evacuated ? nodes_.put(evacuation) : nodes_.erase(evacuation);
    }

    // Restarts some nodes at different times, but never all: without the store
    // no copy would be left.
    void restart_some()
    {
        auto const spared = random_.below(nodes_.size());
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if (i != spared && random_.below(2) == 0)
            {
                run_for(static_cast<long>(random_.below(300)));
                nodes_.restart(i);
            }
        }
    }

    void run_for(long ms)
    {
        now_ms_ += ms;
        nodes_.run_until(now_ms_);
    }

    bool all_agree() const
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if (nodes_.holds(i, evacuation) != is_evacuated_)
            {
                return false;
            }
        }
        return true;
    }

private:
    core::random_source random_;
    simulated_mesh nodes_;
    long now_ms_ = 0;
    bool is_evacuated_ = false;
};

// The bound on the time in which an evacuation takes effect.
constexpr long evacuate_ms = 5'000;

} // namespace

// Guards against a node that restarts while the store is down and sends
// requests to an evacuated data centre, and against a copy from before that
// restores an evacuation which the operator has taken back.
TEST_CASE("an evacuation is set, removed and set again across restarts")
{
    rc::prop("seeds", [](std::uint16_t seed) {
        evacuated_mesh it(seed);
        for (bool const evacuated : {true, false, true})
        {
            it.set_evacuated(evacuated);
            // The nodes restart while the change reaches them.
            it.restart_some();
            it.run_for(evacuate_ms);
            RC_ASSERT(it.all_agree());

            it.set_store_down(true);
            it.restart_some();
            it.run_for(evacuate_ms);
            RC_ASSERT(it.all_agree());

            it.set_store_down(false);
            it.restart_some();
            it.run_for(evacuate_ms);
            RC_ASSERT(it.all_agree());
        }
    });
}

// Guards against nodes that keep the older state because the store was down
// when the operator's write was acknowledged by another part of it.
TEST_CASE("a change during an outage of the store is in force after it")
{
    rc::prop("seeds", [](std::uint16_t seed) {
        evacuated_mesh it(seed);
        for (bool const evacuated : {true, false, true})
        {
            it.set_store_down(true);
            it.set_evacuated(evacuated);
            it.restart_some();
            it.run_for(evacuate_ms);
            it.set_store_down(false);
            it.run_for(evacuate_ms);
            RC_ASSERT(it.all_agree());
        }
    });
}
