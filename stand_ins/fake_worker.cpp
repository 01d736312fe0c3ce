// Handles the requests to a fake worker and simulates its faults.
#include "stand_ins/fake_worker.hpp"

#include <stdexcept>

#include <fmt/format.h>

namespace yuccafall::stand_ins {

namespace {

// The path that the deployment's configuration states for each service.
constexpr char health_path[] = "/health";

std::string header_value(http::request const& it, char const* name)
{
    auto const* value = http::find_header(it.headers, name);
    return value == nullptr ? std::string() : *value;
}

// How long a worker is away after it has crashed because of too many requests.
constexpr core::milliseconds cold_crash_duration{2'000};

// Returns the size of the body that the target asks for, or 0 if it asks for
// none.
std::size_t stated_body_size(std::string const& target)
{
    constexpr std::string_view name = "size=";
    auto const at = target.rfind(name);
    return at == std::string::npos
               ? 0
               : http::parse_number(target.substr(at + name.size()))
                     .value_or(0);
}

} // namespace

fake_worker::fake_worker(core::endpoint const& at, worker_options options)
    : options_(std::move(options)), local_(at)
{
    thread_.invoke([&] { listen(); });
}

fake_worker::~fake_worker()
{
    thread_.invoke([&] {
        return_timer_.reset();
        stop_serving();
    });
    thread_.stop();
}

void fake_worker::listen()
{
    auto it = http::server::listen(
        thread_.context(), local_,
        [this](connection const& caller, http::request const& message) {
            handle(caller, message);
        },
        [this](core::error const&) { return make_rejection(400); });
    if (!it)
    {
        throw std::runtime_error(it.error().detail);
    }
    server_ = std::move(*it);
    local_ = server_->local();
    cold_until_ = core::boot_clock::now() + options_.cold_time;
    last_cold_arrivals_.clear();
}

void fake_worker::set_fault(worker_fault fault)
{
    thread_.invoke([&] { fault_ = fault; });
}

void fake_worker::set_rate_limit(std::string per_second)
{
    thread_.invoke([&] {
        rate_limit_ = std::move(per_second);
        if (!rate_limit_.empty())
        {
            counts_.limits.push_back({std::stod(rate_limit_), {}, {}});
        }
    });
}

void fake_worker::set_leaving(bool leaving)
{
    thread_.invoke([&] { leaving_ = leaving; });
}

// Adds what the worker states about itself in each response.
void fake_worker::add_statements(http::response& to)
{
    to.headers.push_back({"Server-Load", load_header()});
    if (leaving_)
    {
        to.headers.push_back({"Server-Leaving", "1"});
    }
    if (!rate_limit_.empty())
    {
        to.headers.push_back({"Server-Limit", rate_limit_});
    }
}

void fake_worker::record_limit_stated()
{
    if (!rate_limit_.empty())
    {
        auto& stated_at = counts_.limits.back().stated_at;
        stated_at = stated_at.value_or(core::boot_clock::now());
    }
}

void fake_worker::crash()
{
    thread_.invoke([&] {
        return_timer_.reset();
        stop_serving();
    });
}

void fake_worker::stop_serving()
{
    if (auto const server = std::exchange(server_, nullptr))
    {
        server->stop();
    }
    running_ = 0;
}

void fake_worker::crash_while_cold()
{
    ++counts_.cold_crashes;
    stop_serving();
    return_timer_.emplace(thread_.context(), cold_crash_duration);
    return_timer_->async_wait([this](boost::system::error_code const& ec) {
        if (!ec)
        {
            return_timer_.reset();
            listen();
        }
    });
}

void fake_worker::restart()
{
    thread_.invoke([&] {
        return_timer_.reset();
        listen();
    });
}

void fake_worker::set_cold_time(core::milliseconds cold_time)
{
    thread_.invoke([&] { options_.cold_time = cold_time; });
}

void fake_worker::become_cold(core::milliseconds cold_time)
{
    thread_.invoke([&] {
        if (!is_cold())
        {
            last_cold_arrivals_.clear();
        }
        cold_until_ = core::boot_clock::now() + cold_time;
    });
}

worker_counts fake_worker::counts()
{
    return thread_.invoke([&] { return counts_; });
}

std::string fake_worker::load_header() const
{
    return fmt::format("{},0,{},100", running_, options_.slots);
}

http::response fake_worker::make_rejection(int status, std::string const& id)
{
    http::response it;
    it.status = status;
    it.headers = {{"Not-Executed", "1"}, {"Instance-Id", options_.id}};
    if (!id.empty())
    {
        it.headers.push_back({"Attempt-Id", id});
    }
    add_statements(it);
    record_limit_stated();
    return it;
}

http::response fake_worker::make_health_response()
{
    http::response it;
    it.status = 200;
    it.headers = {{"Instance-Id", options_.id}};
    add_statements(it);
    if (is_cold())
    {
        auto const remaining = std::chrono::duration_cast<core::milliseconds>(
            cold_until_ - core::boot_clock::now());
        it.headers.push_back(
            {"Cold-Ms", fmt::format("{}", remaining.count() + 1)});
    }
    return it;
}

void fake_worker::record_cold_arrival()
{
    auto const now = core::boot_clock::now();
    ++counts_.cold_arrivals;
    last_cold_arrivals_.push_back(now);
    while (last_cold_arrivals_.front() <= now - std::chrono::seconds(1))
    {
        last_cold_arrivals_.pop_front();
    }
    counts_.most_cold_arrivals_in_a_second = std::max(
        counts_.most_cold_arrivals_in_a_second, last_cold_arrivals_.size());
}

void fake_worker::handle(connection const& caller, http::request const& it)
{
    if (it.target == health_path)
    {
        ++counts_.health_requests;
        caller->send_response(make_health_response());
        return;
    }
    ++counts_.arrivals;
    auto const id = header_value(it, "Attempt-Id");
    auto const target_instance = header_value(it, "Target-Instance");
    if (!target_instance.empty() && target_instance != options_.id)
    {
        caller->send_response(make_rejection(421, id));
        return;
    }
    if (is_cold())
    {
        record_cold_arrival();
        if (options_.max_cold_arrivals > 0 &&
            last_cold_arrivals_.size() > options_.max_cold_arrivals)
        {
            crash_while_cold();
            return;
        }
    }
    if (!rate_limit_.empty())
    {
        counts_.limits.back().arrivals.push_back(core::boot_clock::now());
    }
    if (running_ >= options_.slots || fault_ == worker_fault::rejects_requests)
    {
        ++counts_.rejected;
        caller->send_response(make_rejection(503, id));
        return;
    }
    ++counts_.runs[id];
    counts_.caller_services.insert(header_value(it, "Caller-Service"));
    if (fault_ == worker_fault::crashes &&
        it.target.find("crash") != std::string::npos)
    {
        stop_serving();
        return;
    }
    ++running_;
    counts_.max_running = std::max(counts_.max_running, running_);
    auto const timer = std::make_shared<boost::asio::steady_timer>(
        thread_.context(), options_.service_time * (is_cold() ? 2 : 1));
    auto const disconnected = std::make_shared<bool>(false);
    caller->on_disconnect([this, timer, disconnected] {
        *disconnected = true;
        ++counts_.canceled;
        timer->cancel();
    });
    timer->async_wait(
        [this, caller, id, timer, disconnected,
         size = stated_body_size(it.target)](boost::system::error_code const&) {
            // A crash of the worker resets the count while requests are
            // running, so it can be zero here.
            running_ -= running_ > 0 ? 1 : 0;
            if (!*disconnected)
            {
                finish_request(caller, id, size);
            }
        });
}

void fake_worker::finish_request(connection const& caller,
                                 std::string const& id, std::size_t body_size)
{
    if (fault_ == worker_fault::drops_responses)
    {
        caller->close();
        return;
    }
    http::response it;
    it.status = 200;
    it.headers = {{"Attempt-Id", id},
                  {"Response-Signature", options_.id + "." + id}};
    add_statements(it);
    it.body = body_size == 0 ? "answer to " + id : std::string(body_size, 'x');
    if (fault_ == worker_fault::adds_content_encoding)
    {
        it.headers.push_back({"Content-Encoding", "broken"});
    }
    if (fault_ == worker_fault::malforms_responses)
    {
        malform(it);
    }
    else
    {
        record_limit_stated();
    }
    caller->send_response(it);
}

void fake_worker::malform(http::response& it)
{
    switch (malformed_responses_++ % 6)
    {
    case 0:
        it.status = 0;
        return;
    case 1:
        it.status = 600;
        return;
    case 2:
        it.headers.push_back({"X Y", "z"});
        return;
    case 3:
        it.headers.push_back({"X", "a\r\n b"});
        return;
    case 4:
        it.headers.push_back({"Transfer-Encoding", "gzip"});
        return;
    default:
        it.headers.push_back({"Content-Length", "1"});
        return;
    }
}

} // namespace yuccafall::stand_ins
