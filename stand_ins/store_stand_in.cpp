// The store's calls.
#include "stand_ins/store_stand_in.hpp"

#include <algorithm>
#include <stdexcept>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace yuccafall::stand_ins {

using nlohmann::json;

namespace {

// Small, so that tests read several pages.
constexpr std::size_t page_items = 50;

std::string base64(std::string const& text)
{
    using namespace boost::archive::iterators;
    using letters =
        base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string out(letters(text.begin()), letters(text.end()));
    out.append((3 - text.size() % 3) % 3, '=');
    return out;
}

http::response answer_of(int status, json const& body)
{
    http::response it;
    it.status = status;
    it.headers.push_back({"Content-Type", "application/json"});
    it.body = body.dump();
    return it;
}

std::string parameter(http::parsed_target const& from, char const* name)
{
    auto const found = from.parameters.find(name);
    return found == from.parameters.end() ? std::string() : found->second;
}

bool begins_with(std::string const& text, std::string const& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

store_stand_in::store_stand_in(core::endpoint const& at)
{
    thread_.ask([&] {
        auto it = http::server::listen(
            thread_.context(), at,
            [this](std::shared_ptr<http::server_connection> const& caller,
                   http::request const& message) { handle(caller, message); },
            [](core::error const&) { return answer_of(400, json::object()); });
        if (!it)
        {
            throw std::runtime_error(it.error().detail);
        }
        server_ = std::move(*it);
        local_ = server_->local();
    });
}

store_stand_in::~store_stand_in()
{
    thread_.ask([&] { server_->stop(); });
    thread_.stop();
}

std::uint64_t store_stand_in::put(std::string const& key,
                                  std::string const& value)
{
    return thread_.ask([&] { return add({key, value, 0, false}); });
}

std::uint64_t store_stand_in::erase(std::string const& key)
{
    return thread_.ask([&] { return add({key, {}, 0, true}); });
}

void store_stand_in::set_mode(store_mode it)
{
    thread_.ask([&] { mode_ = it; });
}

void store_stand_in::drop_history()
{
    thread_.ask([&] {
        history_.clear();
        dropped_until_ = revision_;
    });
}

std::uint64_t store_stand_in::calls()
{
    return thread_.ask([&] { return calls_; });
}

std::uint64_t store_stand_in::add(change it)
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
    auto const waiting = std::move(watches_);
    watches_.clear();
    for (auto const& w : waiting)
    {
        if (!answer_watch(*w, false))
        {
            watches_.push_back(w);
        }
    }
    return revision_;
}

void store_stand_in::handle(
    std::shared_ptr<http::server_connection> const& caller,
    http::request const& it)
{
    ++calls_;
    caller->on_disconnect([] {});
    if (mode_ == store_mode::silent)
    {
        return;
    }
    if (mode_ == store_mode::busy)
    {
        caller->send_response(answer_of(503, json::object()));
        return;
    }
    auto const target = http::parse_target(it.target);
    if (target.path == "/v1/kv-range")
    {
        caller->send_response(range(target));
        return;
    }
    if (target.path == "/v1/kv-watch")
    {
        watch(caller, target);
        return;
    }
    caller->send_response(answer_of(404, json::object()));
}

http::response store_stand_in::range(http::parsed_target const& target) const
{
    auto const prefix = parameter(target, "prefix");
    auto const after = parameter(target, "after");
    auto list = json::array();
    bool truncated = false;
    for (auto const& [key, it] : items_)
    {
        if (!begins_with(key, prefix) || (!after.empty() && key <= after))
        {
            continue;
        }
        if (list.size() == page_items)
        {
            truncated = true;
            break;
        }
        list.push_back({{"key", key},
                        {"value", base64(it.value)},
                        {"rev", it.revision},
                        {"create_rev", it.revision},
                        {"lease", 0}});
    }
    return answer_of(
        200, {{"items", list}, {"truncated", truncated}, {"as_of", revision_}});
}

void store_stand_in::watch(
    std::shared_ptr<http::server_connection> const& caller,
    http::parsed_target const& target)
{
    auto const number = [&](char const* name) {
        return http::parse_number(parameter(target, name)).value_or(0);
    };
    auto it = std::make_shared<waiting_watch>();
    it->caller = caller;
    it->prefix = parameter(target, "prefix");
    it->after = number("after");
    if (it->after < dropped_until_)
    {
        caller->send_response(answer_of(410, json::object()));
        return;
    }
    auto const wait = std::chrono::milliseconds(number("wait_ms"));
    if (answer_watch(*it, wait.count() == 0))
    {
        return;
    }
    watches_.push_back(it);
    auto const timer =
        std::make_shared<boost::asio::steady_timer>(thread_.context(), wait);
    timer->async_wait([this, it, timer](boost::system::error_code const& ec) {
        auto const found = std::find(watches_.begin(), watches_.end(), it);
        if (!ec && found != watches_.end())
        {
            watches_.erase(found);
            answer_watch(*it, true);
        }
    });
}

bool store_stand_in::answer_watch(waiting_watch const& it, bool at_end)
{
    auto events = json::array();
    for (auto const& c : history_)
    {
        if (c.revision <= it.after || !begins_with(c.key, it.prefix))
        {
            continue;
        }
        if (c.deleted)
        {
            events.push_back(
                {{"key", c.key}, {"rev", c.revision}, {"deleted", true}});
            continue;
        }
        events.push_back({{"key", c.key},
                          {"value", base64(c.value)},
                          {"rev", c.revision},
                          {"create_rev", c.revision},
                          {"lease", 0}});
    }
    if ((events.empty() && !at_end) || mode_ != store_mode::serves)
    {
        return false;
    }
    it.caller->send_response(
        answer_of(200, {{"events", events}, {"as_of", revision_}}));
    return true;
}

} // namespace yuccafall::stand_ins
