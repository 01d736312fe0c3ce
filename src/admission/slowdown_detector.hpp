// Detects that a worker has become slower than usual, as it does when it
// becomes cold.
//
// Each response is compared with the usual service time of its route, so that a
// change in the mix of routes does not count as a slowdown. Responses that the
// worker sends while it has more calls than slots are ignored, since its calls
// then wait for each other.
#ifndef YUCCAFALL_ADMISSION_SLOWDOWN_DETECTOR_HPP
#define YUCCAFALL_ADMISSION_SLOWDOWN_DETECTOR_HPP

#include <deque>
#include <map>
#include <optional>

#include "admission/queue_messages.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"

namespace yuccafall::admission {

// A run whose response has arrived.
struct answered_run
{
    core::route_name route;
    core::duration service_time{};
    // The load that the response reports, if any.
    std::optional<worker_load> load = std::nullopt;
};

struct slowdown_settings
{
    // The worker is slow if its recent service times are, on average, at least
    // this multiple of the usual ones. A cold worker takes twice as long.
    double min_ratio = 1.6;
    // Number of responses that count as recent. Five responses that take twice
    // as long as usual, among this many, reach min_ratio. Until as many have
    // arrived, the missing ones count as usual: waiting for them would let a
    // worker that is cold again get too many calls.
    std::size_t recent_responses = 8;
    // A ratio above this counts as this much. One very slow response among
    // recent_responses does not make the worker slow.
    double max_ratio = 3;
    // Weight of a response in the usual service time of its route.
    double sample_weight = 0.02;
    // Number of responses after which the usual service time of a route is
    // known well enough for a comparison.
    std::size_t min_samples = 20;
    // Limits the number of routes with a usual service time. All of them are
    // discarded when a further route would exceed the limit.
    std::size_t max_routes = 256;
};

class slowdown_detector
{
public:
    explicit slowdown_detector(slowdown_settings settings = {})
        : settings_(settings)
    {}

    // Discards the recent responses, and ignores those to runs that started
    // before this time. Must be called when the worker begins to count as warm:
    // its earlier runs may have taken longer because it was cold.
    void start(core::instant now);

    // Records a response that a worker that counts as warm has sent. Returns
    // whether the worker is slow.
    bool observe(answered_run const& it, core::instant now);

private:
    struct usual_time
    {
        // Invariant: greater than zero.
        core::duration mean;
        std::size_t samples = 1;
    };
    struct recent_response
    {
        core::route_name route;
        // Service time as a multiple of the usual one, at most max_ratio.
        double ratio;
    };

    double ratio_of(core::duration service_time, usual_time const& usual) const;
    // Adds a response to the usual service time of its route.
    void learn(usual_time& usual, double ratio) const;
    bool is_slow() const;

    slowdown_settings settings_;
    std::map<core::route_name, usual_time> usual_;
    // Responses that have not been added to the usual service times. Those that
    // make the worker slow never are, so that the usual service times do not
    // rise while the worker is slow.
    // Invariant: no more than recent_responses.
    std::deque<recent_response> recent_;
    core::instant started_at_{};
};

} // namespace yuccafall::admission

#endif
