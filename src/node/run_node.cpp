// The control thread: start, signals, readiness and graceful shutdown.
#include "node/run_node.hpp"

#include <csignal>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include "admin/admin_server.hpp"
#include "core/log.hpp"
#include "http/server.hpp"
#include "node/control_plane.hpp"
#include "node/settings.hpp"
#include "node/traffic_plane.hpp"
#include "platform/headers.hpp"

namespace yuccafall::node {

namespace asio = boost::asio;

namespace {

// The platform asks for readiness once a second and sends no new callers
// after two misses; requests of late ones are waited for this long.
constexpr core::milliseconds shortest_drain{2'800};

// The worker beside a node that stops goes on; its slots are used until
// shortly before the node can end.
constexpr core::milliseconds worker_held{1'800};

// Without a new request for this long, callers are taken to have moved.
constexpr core::milliseconds quiet_before_end{700};

// Kept from the time that the platform allows, for the process to end.
constexpr core::milliseconds end_reserve{800};

// Part of that time in which new requests are still taken. What is left is
// more than the longest time limit of a route in use.
constexpr core::percentage taking_part{50};

constexpr core::milliseconds drain_check{100};

class node_process
{
public:
    node_process(settings it, std::string settings_path)
        : settings_(std::move(it)), settings_path_(std::move(settings_path)),
          signals_(context_, SIGTERM, SIGINT, SIGHUP), drain_timer_(context_),
          traffic_(settings_, platform::header_functions(),
                   [this](poison::crash_notice const& seen) {
                       asio::post(context_,
                                  [this, seen] { control_->suspect(seen); });
                   })
    {}

    run_outcome run()
    {
        if (auto started = start(); !started)
        {
            core::log_event(core::log_level::error, "start_failed",
                            {{"reason", started.error().detail}});
            return run_outcome::start_failed;
        }
        wait_for_signal();
        context_.run();
        traffic_.stop();
        core::log_event(core::log_level::info, "node_stopped",
                        {{"vm", settings_.vm.value()}});
        return run_outcome::stopped;
    }

private:
    core::result<void> start()
    {
        if (auto started = traffic_.start(); !started)
        {
            return started;
        }
        auto ready = http::server::listen(
            context_, settings_.readiness,
            [this](std::shared_ptr<http::server_connection> const& caller,
                   http::request const&) {
                caller->send_response(readiness());
            },
            [](core::error const& why) {
                http::response it;
                it.status = core::error_response_for(why.kind).http_status;
                return it;
            });
        if (!ready)
        {
            return tl::unexpected(ready.error());
        }
        readiness_ = std::move(*ready);
        control_ = std::make_shared<control_plane>(
            context_, settings_,
            [this](std::shared_ptr<ingress::traffic_view const> view) {
                traffic_.publish(std::move(view));
            });
        auto operators = admin::admin_server::listen(
            context_, settings_.operators,
            {[this] { return state(); }, [this] { return control_->nodes(); }});
        if (!operators)
        {
            return tl::unexpected(operators.error());
        }
        operators_ = std::move(*operators);
        if (auto started = control_->start(); !started)
        {
            return started;
        }
        core::log_event(core::log_level::info, "node_started",
                        {{"vm", settings_.vm.value()},
                         {"service", settings_.service.value()},
                         {"data_centre", settings_.data_centre.value()},
                         {"callers", core::to_string(settings_.callers)},
                         {"worker", core::to_string(settings_.worker)}});
        return {};
    }

    admin::node_state state() const
    {
        admin::node_state it;
        it.identity = {settings_.vm, settings_.service, settings_.data_centre};
        it.control = control_->status();
        it.control.leaving = stopping_since_.has_value();
        it.view = control_->view();
        it.ingress_counters = traffic_.counts();
        it.worker_counters = traffic_.owner_counts();
        return it;
    }

    http::response readiness() const
    {
        bool const ready = control_ && control_->is_ready() && !stopping_since_;
        http::response it;
        it.status = ready ? 200 : 503;
        return it;
    }

    void wait_for_signal()
    {
        signals_.async_wait(
            [this](boost::system::error_code const& ec, int number) {
                if (ec)
                {
                    return;
                }
                if (number == SIGHUP)
                {
                    reload();
                    wait_for_signal();
                    return;
                }
                start_draining();
                wait_for_signal();
            });
    }

    void reload()
    {
        auto const it = load_settings(settings_path_);
        if (!it)
        {
            core::log_event(core::log_level::warning, "settings_refused",
                            {{"reason", it.error().detail}});
            return;
        }
        core::log_event(core::log_level::info, "settings_read",
                        {{"service", it->service.value()},
                         {"worker", core::to_string(it->worker)}});
    }

    void start_draining()
    {
        if (stopping_since_)
        {
            return;
        }
        stopping_since_ = core::boot_clock::now();
        core::log_event(core::log_level::info, "drain_started",
                        {{"vm", settings_.vm.value()}});
        traffic_.start_leaving();
        check_drain();
    }

    void check_drain()
    {
        drain_timer_.expires_after(drain_check);
        drain_timer_.async_wait([this](boost::system::error_code const& ec) {
            if (ec)
            {
                return;
            }
            traffic_.ask_state([this](traffic_state state) {
                asio::post(context_, [this, state] { drain_or_end(state); });
            });
        });
    }

    void drain_or_end(traffic_state const& state)
    {
        auto const now = core::boot_clock::now();
        auto const since = now - *stopping_since_;
        if (since >= worker_held)
        {
            traffic_.release_worker();
        }
        if (since >= settings_.longest_drain *
                         static_cast<long>(taking_part.value()) / 100)
        {
            traffic_.stop_taking();
        }
        bool const empty = state.requests_open == 0 && state.running == 0;
        bool const quiet = since >= shortest_drain &&
                           now - state.last_request >= quiet_before_end;
        bool const out_of_time = since + end_reserve >= settings_.longest_drain;
        if ((empty && quiet) || out_of_time)
        {
            core::log_event(core::log_level::info, "drain_ended",
                            {{"requests_open", state.requests_open},
                             {"running", state.running}});
            control_->stop();
            readiness_->stop();
            operators_->stop();
            context_.stop();
            return;
        }
        check_drain();
    }

    settings settings_;
    std::string settings_path_;
    asio::io_context context_{1};
    asio::signal_set signals_;
    asio::steady_timer drain_timer_;
    traffic_plane traffic_;
    std::shared_ptr<control_plane> control_;
    std::shared_ptr<http::server> readiness_;
    std::shared_ptr<admin::admin_server> operators_;
    std::optional<core::instant> stopping_since_;
};

} // namespace

run_outcome run_node(std::string const& settings_path)
{
    auto it = load_settings(settings_path);
    if (!it)
    {
        core::log_event(core::log_level::error, "settings_refused",
                        {{"reason", it.error().detail}});
        return run_outcome::settings_refused;
    }
    // A peer that has closed is told by the write's result.
    std::signal(SIGPIPE, SIG_IGN);
    node_process process(std::move(*it), settings_path);
    return process.run();
}

} // namespace yuccafall::node
