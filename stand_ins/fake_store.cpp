// Implements the HTTP API of the store: range reads and watches.
#include "stand_ins/fake_store.hpp"

#include <algorithm>
#include <stdexcept>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace yuccafall::stand_ins {

using nlohmann::json;

namespace {

// Maximum number of items in the response to a range request. It is small so
// that the nodes under test read several pages.
constexpr std::size_t items_per_page = 50;

std::string base64(std::string const& text)
{
    using namespace boost::archive::iterators;
    using encoder =
        base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string out(encoder(text.begin()), encoder(text.end()));
    out.append((3 - text.size() % 3) % 3, '=');
    return out;
}

http::response make_response(int status, json const& body)
{
    http::response it;
    it.status = status;
    it.headers.push_back({"Content-Type", "application/json"});
    it.body = body.dump();
    return it;
}

std::string query_parameter(http::parsed_target const& target, char const* name)
{
    auto const found = target.parameters.find(name);
    return found == target.parameters.end() ? std::string() : found->second;
}

bool starts_with(std::string const& text, std::string const& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

fake_store::fake_store(core::endpoint const& at)
{
    thread_.invoke([&] {
        auto it = http::server::listen(
            thread_.context(), at,
            [this](std::shared_ptr<http::server_connection> const& caller,
                   http::request const& message) { handle(caller, message); },
            [](core::error const&) {
                return make_response(400, json::object());
            });
        if (!it)
        {
            throw std::runtime_error(it.error().detail);
        }
        server_ = std::move(*it);
        local_ = server_->local();
    });
}

fake_store::~fake_store()
{
    thread_.invoke([&] { server_->stop(); });
    thread_.stop();
}

std::uint64_t fake_store::put(std::string const& key, std::string const& value)
{
    return thread_.invoke([&] { return apply_change({key, value, 0, false}); });
}

std::uint64_t fake_store::erase(std::string const& key)
{
    return thread_.invoke([&] { return apply_change({key, {}, 0, true}); });
}

void fake_store::set_mode(store_mode mode)
{
    thread_.invoke([&] { mode_ = mode; });
}

void fake_store::discard_history()
{
    thread_.invoke([&] {
        history_.clear();
        discarded_revision_ = revision_;
    });
}

std::uint64_t fake_store::request_count()
{
    return thread_.invoke([&] { return request_count_; });
}

std::uint64_t fake_store::apply_change(change it)
{
    it.revision = ++revision_;
    history_.push_back(it);
    if (it.deleted)
    {
        items_.erase(it.key);
    }
    else
    {
        items_[it.key] = it;
    }
    auto const pending = std::move(pending_watches_);
    pending_watches_.clear();
    for (auto const& watch_request : pending)
    {
        if (!respond_to_watch(*watch_request, false))
        {
            pending_watches_.push_back(watch_request);
        }
    }
    return revision_;
}

void fake_store::handle(std::shared_ptr<http::server_connection> const& caller,
                        http::request const& it)
{
    ++request_count_;
    // A request that gets its response later must set a handler. Without it,
    // the request counts as open forever if the caller disconnects.
    caller->on_disconnect([] {});
    if (mode_ == store_mode::unresponsive)
    {
        return;
    }
    if (mode_ == store_mode::closing)
    {
        caller->close();
        return;
    }
    if (mode_ == store_mode::unavailable)
    {
        caller->send_response(make_response(503, json::object()));
        return;
    }
    auto const target = http::parse_target(it.target);
    if (target.path == "/v1/kv-range")
    {
        caller->send_response(handle_range(target));
        return;
    }
    if (target.path == "/v1/kv-watch")
    {
        handle_watch(caller, target);
        return;
    }
    caller->send_response(make_response(404, json::object()));
}

http::response fake_store::handle_range(http::parsed_target const& target) const
{
    auto const prefix = query_parameter(target, "prefix");
    auto const after_key = query_parameter(target, "after");
    auto items = json::array();
    bool truncated = false;
    for (auto const& [key, it] : items_)
    {
        if (!starts_with(key, prefix) ||
            (!after_key.empty() && key <= after_key))
        {
            continue;
        }
        if (items.size() == items_per_page)
        {
            truncated = true;
            break;
        }
        items.push_back({{"key", key},
                         {"value", base64(it.value)},
                         {"rev", it.revision},
                         {"create_rev", it.revision},
                         {"lease", 0}});
    }
    return make_response(
        200,
        {{"items", items}, {"truncated", truncated}, {"as_of", revision_}});
}

void fake_store::handle_watch(
    std::shared_ptr<http::server_connection> const& caller,
    http::parsed_target const& target)
{
    auto const number_parameter = [&](char const* name) {
        return http::parse_number(query_parameter(target, name)).value_or(0);
    };
    auto it = std::make_shared<pending_watch>();
    it->caller = caller;
    it->prefix = query_parameter(target, "prefix");
    it->after_revision = number_parameter("after");
    if (it->after_revision < discarded_revision_)
    {
        caller->send_response(make_response(410, json::object()));
        return;
    }
    auto const wait = std::chrono::milliseconds(number_parameter("wait_ms"));
    if (respond_to_watch(*it, wait.count() == 0))
    {
        return;
    }
    pending_watches_.push_back(it);
    auto const timer =
        std::make_shared<boost::asio::steady_timer>(thread_.context(), wait);
    timer->async_wait([this, it, timer](boost::system::error_code const& ec) {
        auto const found =
            std::find(pending_watches_.begin(), pending_watches_.end(), it);
        if (!ec && found != pending_watches_.end())
        {
            pending_watches_.erase(found);
            respond_to_watch(*it, true);
        }
    });
}

bool fake_store::respond_to_watch(pending_watch const& it, bool allow_empty)
{
    auto events = json::array();
    for (auto const& entry : history_)
    {
        if (entry.revision <= it.after_revision ||
            !starts_with(entry.key, it.prefix))
        {
            continue;
        }
        if (entry.deleted)
        {
            events.push_back({{"key", entry.key},
                              {"rev", entry.revision},
                              {"deleted", true}});
            continue;
        }
        events.push_back({{"key", entry.key},
                          {"value", base64(entry.value)},
                          {"rev", entry.revision},
                          {"create_rev", entry.revision},
                          {"lease", 0}});
    }
    if ((events.empty() && !allow_empty) || mode_ != store_mode::available)
    {
        return false;
    }
    it.caller->send_response(
        make_response(200, {{"events", events}, {"as_of", revision_}}));
    return true;
}

} // namespace yuccafall::stand_ins
