// Accepts callers and holds what their calls share.
#include "ingress/ingress.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "ingress/call.hpp"

namespace yuccafall::ingress {

namespace {

// Named in answers of the node's own, for operators who read a caller's log.
constexpr char error_field[] = "Yuccafall-Error";

// A caller that is refused without a better estimate comes back after this.
constexpr core::milliseconds usual_retry_after{200};

balancing::choice_settings choice_of(ingress_settings const& it)
{
    balancing::choice_settings out;
    out.own = it.data_centre;
    return out;
}

} // namespace

ingress::ingress(boost::asio::io_context& context, ingress_settings settings,
                 dialect::header_codec dialect,
                 std::shared_ptr<peers::peer_links> links,
                 std::shared_ptr<counters> counts)
    : context_(context), settings_(std::move(settings)), dialect_(dialect),
      links_(std::move(links)), counts_(std::move(counts)),
      scores_(choice_of(settings_)), budget_(settings_.budget),
      random_(settings_.seed), incarnation_(random_.next())
{}

core::result<void> ingress::listen()
{
    auto opened = http::server::listen(
        context_, settings_.callers,
        [weak = weak_from_this()](
            std::shared_ptr<http::server_connection> caller, http::request it) {
            if (auto const self = weak.lock())
            {
                std::make_shared<call>(self, std::move(caller), std::move(it))
                    ->start();
            }
        },
        [weak = weak_from_this()](core::error const& why) {
            auto const self = weak.lock();
            return self ? self->refusal(why, {}) : http::response{};
        });
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    server_ = std::move(*opened);
    auto terms = server_->terms();
    terms.held_bytes = settings_.held_requests;
    server_->set_terms(terms);
    links_->on_load(
        [weak = weak_from_this()](core::upstream_id const& of,
                                  balancing::load_report const& load) {
            if (auto const self = weak.lock())
            {
                self->scores_.reported(of, load, core::boot_clock::now());
            }
        });
    return {};
}

void ingress::set_view(std::shared_ptr<traffic_view const> view)
{
    bool const new_routes = !view_ || view_->routes != view->routes;
    view_ = std::move(view);
    budget_.set_nodes(view_->nodes);
    std::set<core::upstream_id> listed;
    for (auto const& [service, workers] : view_->upstreams)
    {
        for (auto const& it : workers)
        {
            listed.insert(it.id);
        }
    }
    scores_.keep_only(listed);
    if (!new_routes || !view_->routes)
    {
        return;
    }
    split_.renew();
    patience_.renew();
    auto const& limits = view_->routes->source().limits;
    auto terms = server_->terms();
    terms.sizes = {limits.head, limits.body};
    terms.head_timeout = limits.head_timeout;
    terms.idle_timeout = limits.idle_timeout;
    server_->set_terms(terms);
}

void ingress::start_leaving()
{
    server_->start_leaving();
}

http::response ingress::refusal(core::error const& why,
                                core::milliseconds retry_after) const
{
    auto const& row = core::answer_of(why.kind);
    http::response it;
    it.status = row.http_status;
    it.headers.push_back({error_field, std::string(row.name)});
    if (row.may_resend)
    {
        auto const after =
            std::max(retry_after, core::milliseconds(0)).count() > 0
                ? retry_after
                : usual_retry_after;
        it.headers.push_back(
            {"Retry-After",
             fmt::format("{:.3f}", static_cast<double>(after.count()) / 1000)});
    }
    return it;
}

} // namespace yuccafall::ingress
