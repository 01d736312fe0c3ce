// Tells apart the outcomes of requests to the worker.
#include "upstream/worker_outcome.hpp"

#include <utility>

#include "core/overloaded.hpp"
#include "metadata/response_check.hpp"

namespace yuccafall::upstream {

worker_outcome classify_response(http::response response,
                                 metadata::header_codec const& header_codec)
{
    auto metadata = header_codec.read_response_metadata(response);
    if (metadata::is_refusal(response, metadata))
    {
        return worker_rejected{std::move(metadata)};
    }
    if (auto fault = metadata::find_fault(response, metadata))
    {
        return worker_failed{http::failure_cause::invalid_response,
                             std::move(fault->detail), metadata.load, false,
                             fault->fault};
    }
    return worker_answered{std::move(response), std::move(metadata)};
}

metadata::response_metadata const* metadata_of(worker_outcome const& it)
{
    return std::visit(
        core::overloaded{
            [](worker_answered const& o) { return &o.metadata; },
            [](worker_rejected const& o) { return &o.metadata; },
            [](auto const&) {
                return static_cast<metadata::response_metadata const*>(nullptr);
            }},
        it);
}

std::optional<admission::worker_load> load_of(worker_outcome const& it)
{
    using load = std::optional<admission::worker_load>;
    return std::visit(
        core::overloaded{
            [](worker_answered const& o) { return o.metadata.load; },
            [](worker_rejected const& o) { return o.metadata.load; },
            [](worker_failed const& o) { return o.load; },
            [](worker_unreachable const&) { return load(); }},
        it);
}

run_end end_of(worker_outcome const& it)
{
    return std::visit(
        core::overloaded{
            [](worker_answered const&) { return run_end::answered; },
            [](worker_rejected const&) { return run_end::rejected; },
            [](worker_failed const&) { return run_end::failed; },
            [](worker_unreachable const&) { return run_end::unreachable; }},
        it);
}

} // namespace yuccafall::upstream
