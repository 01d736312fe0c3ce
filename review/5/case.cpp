// The store cuts the watches that wait, and shortly after that a worker
// leaves.
#include "../stand_ins/rig.hpp"

namespace {

using namespace rig;

// The removal comes this long after the cut.
constexpr long cut_before_ms = 200;
// How long a worker goes on serving after its entry was removed: drain_ms and a
// little longer.
constexpr long serves_on_ms = drain_ms + 200;

} // namespace

int main(int argc, char** argv)
{
    limit_run(100);
    record().open(argc > 1 ? argv[1] : "record.txt");
    // Two VMs in each zone, all with workers of one service.
    deployment it({{"kochi-a", "lookbook-web", 100, 6},
                   {"kochi-a", "lookbook-web", 100, 6},
                   {"kochi-b", "lookbook-web", 100, 6},
                   {"kochi-b", "lookbook-web", 100, 6},
                   {"tvm-a", "lookbook-web", 100, 6},
                   {"tvm-a", "lookbook-web", 100, 6}},
                  {0, 2, 4});
    for (std::size_t i = 0; i < it.size(); ++i)
    {
        it.publish_worker(i);
    }
    it.publish_configuration(
        {{"r-browse", "/browse/", "idempotent", "lookbook-web", 2000, 600},
         {"r-buy", "/buy/", "non_idempotent", "lookbook-web", 2000, 800}});
    it.start_nodes();
    sleep_ms(4'000);

    traffic load(it, 40);
    sleep_ms(4'000);

    std::set<std::string> late;
    for (std::size_t const leaving : {1U, 3U, 5U})
    {
        auto& worker = it.at(leaving).worker;
        if (with_trouble())
        {
            auto const n = it.store().cut_watches();
            record().line("the store cuts %d watches", n);
        }
        sleep_ms(cut_before_ms);
        // The worker leaves without reporting that it drains.
        auto const gone_at = it.remove_worker(leaving);
        record().line("the store has acknowledged that %s is gone",
                      it.at(leaving).worker_id.c_str());
        sleep_until_ms(gone_at + serves_on_ms);
        worker.end();
        record().line("%s ends", it.at(leaving).worker_id.c_str());
        long latest = 0;
        for (auto const& a : worker.arrivals())
        {
            latest = std::max(latest, a.at - gone_at);
            if (a.at > gone_at + drain_ms)
            {
                late.insert(a.id);
                record().line("late: %s reached %s at %ld, %ld ms after the "
                              "acknowledgement",
                              a.id.c_str(), it.at(leaving).worker_id.c_str(),
                              a.at, a.at - gone_at);
            }
        }
        record().line("the last request reached %s %ld ms after the "
                      "acknowledgement",
                      it.at(leaving).worker_id.c_str(), latest);
        sleep_ms(4'000);
    }
    load.stop();
    int lost = 0;
    for (auto const& a : load.answers())
    {
        lost += late.count(a.id) != 0 && a.status != 200 ? 1 : 0;
    }
    record().line("%d requests sent; %zu reached a worker that is gone later "
                  "than %ld ms after the acknowledgement, by machines in "
                  "touch; %d of these were not served",
                  load.sent(), late.size(), drain_ms, lost);
    printf("%zu late arrivals, %d of them not served\n", late.size(), lost);
    it.finish(late.empty() ? rule_held : rule_broken);
}
