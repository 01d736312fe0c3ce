// A worker leaves, the node beside it is restarted while another node of its
// zone stands still, and then that node wakes again.
#include "../stand_ins/rig.hpp"

namespace {

using namespace rig;

constexpr std::size_t leaving = 1;
constexpr std::size_t frozen = 0;

// How long the worker goes on serving after its entry was removed.
constexpr long serves_on_ms = 14'000;
constexpr long freeze_ms = 4'000;
// A process that has ended is started again after this.
constexpr long restart_delay_ms = 400;

} // namespace

int main(int argc, char** argv)
{
    limit_run(100);
    record().open(argc > 1 ? argv[1] : "record.txt");
    // Two VMs in each zone, all with workers of one service.
    deployment it({{"kochi-a", "lookbook-web", 30, 6},
                   {"kochi-a", "lookbook-web", 30, 6},
                   {"kochi-b", "lookbook-web", 30, 6},
                   {"kochi-b", "lookbook-web", 30, 6},
                   {"tvm-a", "lookbook-web", 30, 6},
                   {"tvm-a", "lookbook-web", 30, 6}},
                  {0, 2, 4});
    for (std::size_t i = 0; i < it.size(); ++i)
    {
        it.publish_worker(i);
    }
    it.publish_configuration(
        {{"r-browse", "/browse/", "idempotent", "lookbook-web", 2000, 600},
         {"r-buy", "/buy/", "non_idempotent", "lookbook-web", 2500, 800}});
    it.start_nodes();
    sleep_ms(4'000);

    traffic load(it, 40);
    sleep_ms(3'000);

    // The node beside the worker is stopped and started again, as planned work.
    it.at(leaving).node.signal(SIGTERM);
    record().line("SIGTERM to the node of %s", it.at(leaving).name.c_str());
    sleep_ms(1'700);
    auto const frozen_at = now_ms();
    if (with_trouble())
    {
        it.at(frozen).node.signal(SIGSTOP);
        record().line("the node of %s stands still",
                      it.at(frozen).name.c_str());
    }
    if (!it.at(leaving).node.wait_for_end(6'000))
    {
        it.finish(could_not_run);
    }
    record().line("the node of %s has ended", it.at(leaving).name.c_str());
    // The worker leaves without reporting that it drains.
    auto const gone_at = it.remove_worker(leaving);
    record().line("the store has acknowledged that %s is gone",
                  it.at(leaving).worker_id.c_str());
    sleep_ms(restart_delay_ms);
    it.start_node(leaving);
    auto const started_at = now_ms();
    if (with_trouble())
    {
        sleep_until_ms(frozen_at + freeze_ms);
        it.at(frozen).node.signal(SIGCONT);
        record().line("the node of %s goes on", it.at(frozen).name.c_str());
    }
    auto const woken_at = now_ms();
    sleep_until_ms(gone_at + serves_on_ms);
    it.at(leaving).worker.end();
    record().line("%s ends", it.at(leaving).worker_id.c_str());
    sleep_ms(2'000);
    load.stop();

    // All machines are in touch from here on, with the store calm all the
    // while.
    auto const in_touch_at =
        std::max(started_at, woken_at) + stability_window_ms;
    int late = 0;
    for (auto const& a : it.at(leaving).worker.arrivals())
    {
        if (a.at > in_touch_at && a.at > gone_at + drain_ms)
        {
            ++late;
            if (late <= 5)
            {
                record().line("late: %s reached %s at %ld, %ld ms after the "
                              "acknowledgement",
                              a.id.c_str(), it.at(leaving).worker_id.c_str(),
                              a.at, a.at - gone_at);
            }
        }
    }
    record().line("%d requests sent; %d reached the worker that is gone later "
                  "than %ld ms after the acknowledgement, by machines in touch",
                  load.sent(), late, drain_ms);
    printf("%d late arrivals\n", late);
    it.finish(late > 0 ? rule_broken : rule_held);
}
