// Runs the control thread: startup, signals, readiness and graceful shutdown.
#include "node/run_node.hpp"

#include <malloc.h>

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
#include "core/event_loop.hpp"
#include "core/log.hpp"
#include "core/overloaded.hpp"
#include "http/server.hpp"
#include "node/control_plane.hpp"
#include "node/drain_schedule.hpp"
#include "node/readiness_server.hpp"
#include "node/settings.hpp"
#include "node/traffic_plane.hpp"
#include "platform/headers.hpp"

namespace yuccafall::node {

namespace asio = boost::asio;

namespace {

constexpr core::milliseconds drain_poll_interval{100};

// Larger blocks are returned to the operating system as soon as they are freed.
// With the default, which adapts to the sizes in use, the process keeps the
// memory of long responses that have been ended.
constexpr int returned_block_size = 1024 * 1024;

class node_process
{
public:
    node_process(settings it, std::string settings_path)
        : settings_(std::move(it)), settings_path_(std::move(settings_path)),
          signals_(context_, SIGTERM, SIGINT, SIGHUP), drain_timer_(context_),
          traffic_(settings_, platform::header_codec(),
                   [this](poison::notice const& notice) {
                       asio::post(context_, [this, notice] {
                           control_->handle_poison_notice(notice);
                       });
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
        core::run_event_loop(context_, "control");
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
        auto readiness_server =
            listen_for_readiness(context_, settings_.readiness,
                                 {traffic_.limits().readiness_connections,
                                  traffic_.memory().readiness},
                                 [this] { return is_ready(); });
        if (!readiness_server)
        {
            return tl::unexpected(readiness_server.error());
        }
        readiness_server_ = std::move(*readiness_server);
        control_ = std::make_shared<control_plane>(
            context_, settings_, traffic_.memory().control_frames,
            [this](std::shared_ptr<ingress::traffic_view const> view) {
                traffic_.publish(std::move(view));
            });
        auto admin_server = admin::admin_server::listen(
            context_, settings_.operators,
            {[this] { return state(); }, [this] { return control_->nodes(); },
             [this] { return control_->configuration_in_force(); }},
            {traffic_.limits().operator_connections,
             traffic_.memory().operators});
        if (!admin_server)
        {
            return tl::unexpected(admin_server.error());
        }
        admin_server_ = std::move(*admin_server);
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
        it.control.leaving = drain_.has_value();
        it.view = control_->view();
        it.ingress_counters = traffic_.ingress_counters();
        it.upstream_counters = traffic_.upstream_counters();
        it.memory = traffic_.memory();
        return it;
    }

    bool is_ready() const
    {
        return control_ && control_->is_ready() && !drain_;
    }

    void wait_for_signal()
    {
        signals_.async_wait(
            [this](boost::system::error_code const& ec, int signal_number) {
                if (ec)
                {
                    return;
                }
                if (signal_number == SIGHUP)
                {
                    check_settings_file();
                    wait_for_signal();
                    return;
                }
                start_draining();
                wait_for_signal();
            });
    }

    // Checks the settings file and logs the result. The settings in use do not
    // change.
    void check_settings_file()
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
        if (drain_)
        {
            return;
        }
        drain_settings drain;
        drain.max_time = settings_.max_drain_time;
        drain_.emplace(drain, core::boot_clock::now());
        core::log_event(core::log_level::info, "drain_started",
                        {{"vm", settings_.vm.value()}});
        traffic_.start_draining(drain_->calls_end_at());
        schedule_drain_check();
    }

    void schedule_drain_check()
    {
        drain_timer_.expires_after(drain_poll_interval);
        drain_timer_.async_wait([this](boost::system::error_code const& ec) {
            if (ec)
            {
                return;
            }
            traffic_.query_state([this](traffic_state state) {
                asio::post(context_, [this, state] { continue_drain(state); });
            });
        });
    }

    void continue_drain(traffic_state const& state)
    {
        for (auto const& it : drain_->handle(state, core::boot_clock::now()))
        {
            std::visit(
                core::overloaded{
                    [&](drain_worker const&) { traffic_.drain_worker(); },
                    [&](refuse_requests const&) {
                        traffic_.stop_accepting_requests();
                    },
                    [&](end_process const&) { end_drain(state); }},
                it);
        }
        if (!context_.stopped())
        {
            schedule_drain_check();
        }
    }

    void end_drain(traffic_state const& state)
    {
        core::log_event(core::log_level::info, "drain_ended",
                        {{"requests_open", state.requests_open},
                         {"running", state.running}});
        control_->stop();
        readiness_server_->stop();
        admin_server_->stop();
        context_.stop();
    }

    settings settings_;
    std::string settings_path_;
    asio::io_context context_{1};
    asio::signal_set signals_;
    asio::steady_timer drain_timer_;
    traffic_plane traffic_;
    std::shared_ptr<control_plane> control_;
    std::shared_ptr<http::server> readiness_server_;
    std::shared_ptr<admin::admin_server> admin_server_;
    // Empty until SIGTERM.
    std::optional<drain_schedule> drain_;
};

} // namespace

run_outcome run_node(std::string const& settings_path)
{
    // The platform may send SIGHUP while the process starts, which would end
    // it. The settings are read after this, so that nothing is missed.
    std::signal(SIGHUP, SIG_IGN);
    auto it = load_settings(settings_path);
    if (!it)
    {
        core::log_event(core::log_level::error, "settings_refused",
                        {{"reason", it.error().detail}});
        return run_outcome::settings_refused;
    }
    ::mallopt(M_MMAP_THRESHOLD, returned_block_size);
    // While SIGPIPE is ignored, a write to a connection that the peer has
    // closed returns an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    node_process process(std::move(*it), settings_path);
    return process.run();
}

} // namespace yuccafall::node
