// Collects the lines about one request from the logs of all nodes, in order of
// time, together with the state changes of those nodes around that time.
#ifndef YUCCAFALL_TRACE_REQUEST_TRACE_HPP
#define YUCCAFALL_TRACE_REQUEST_TRACE_HPP

#include <string>
#include <vector>

#include "core/ids.hpp"
#include "trace/log_line.hpp"

namespace yuccafall::trace {

struct request_trace
{
    // The lines that name the request and the state changes of the nodes that
    // wrote them, in order of time.
    std::vector<log_line> lines;
    // Sentence that says how the call ended. Empty if no line names the
    // request.
    std::string conclusion;
};

// State changes are included if they happened at most this long before the
// request's first line or after its last line. A node detects a lost connection
// within this time.
inline constexpr core::milliseconds context_window{1'500};

// Keeps only the lines that may belong to the result, so that logs that are
// larger than the memory can be read.
class request_trace_builder
{
public:
    explicit request_trace_builder(core::request_id request)
        : request_id_(std::move(request))
    {}

    void add(log_line it);
    request_trace build() const;

private:
    core::request_id request_id_;
    // Lines that name the request.
    std::vector<log_line> request_lines_;
    // State changes of all nodes.
    std::vector<log_line> state_change_lines_;
};

} // namespace yuccafall::trace

#endif
