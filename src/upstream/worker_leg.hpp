// Kept-alive connections to the worker beside this node, and one request on
// one of them.
#ifndef YUCCAFALL_UPSTREAM_WORKER_LEG_HPP
#define YUCCAFALL_UPSTREAM_WORKER_LEG_HPP

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "core/endpoint.hpp"
#include "core/units.hpp"
#include "dialect/dialect.hpp"
#include "http/client_connection.hpp"

namespace yuccafall::upstream {

// What became of a request that was meant for the worker.
struct worker_answered
{
    http::response message;
    dialect::response_metadata marks;
};
// The worker, or its address, turned the request away before it ran.
struct worker_refused
{
    dialect::response_metadata marks;
};
struct worker_unreachable
{
    std::string reason;
};
// It may have run.
struct worker_failed
{
    http::failure_cause cause;
    std::string reason;
    std::optional<admission::worker_load> load;
};
using worker_outcome = std::variant<worker_answered, worker_refused,
                                    worker_unreachable, worker_failed>;

// Judges a response that has arrived whole.
worker_outcome judge(http::response it, dialect::header_codec const& dialect);

struct leg_settings
{
    core::milliseconds connect_timeout{600};
    // Kept for this long where the worker states no time of its own.
    core::milliseconds idle_limit{4'000};
    // Part of the stated time that is used, since the worker may close a
    // little early.
    core::percentage of_stated_time{75};
    std::size_t most_idle = 32;
};

// One request at the worker; destroying the handle does not end it.
class worker_run
{
public:
    explicit worker_run(std::shared_ptr<http::client_connection> connection)
        : connection_(std::move(connection))
    {}

    // Breaks the request off: the worker sees its connection close.
    void abort() { connection_->close(); }

private:
    std::shared_ptr<http::client_connection> connection_;
};

// Invariant: used on one thread.
class worker_leg : public std::enable_shared_from_this<worker_leg>
{
public:
    using handler = std::function<void(worker_outcome)>;

    worker_leg(boost::asio::io_context& context, core::endpoint worker,
               dialect::header_codec dialect, leg_settings settings = {});

    // The handler is called later, never from within.
    worker_run start(http::request const& message,
                     core::request_id const& request,
                     core::milliseconds timeout, handler done);

    // Whether the worker takes a connection.
    void probe(std::function<void(bool)> done);

    void close();

private:
    struct idle
    {
        std::shared_ptr<http::client_connection> connection;
        core::instant until;
    };

    std::shared_ptr<http::client_connection> take_idle();
    void exchange(std::shared_ptr<http::client_connection> const& connection,
                  std::string message, http::exchange_terms terms,
                  handler done);
    void keep(std::shared_ptr<http::client_connection> connection,
              dialect::response_metadata const& marks);

    boost::asio::io_context& context_;
    core::endpoint worker_;
    dialect::header_codec dialect_;
    leg_settings settings_;
    // Used last comes last.
    std::deque<idle> idle_;
};

} // namespace yuccafall::upstream

#endif
