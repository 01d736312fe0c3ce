// Starts the processes of a test deployment and sends requests to them.
#include "stand_ins/deployment.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "http/client_connection.hpp"

namespace yuccafall::stand_ins {

using nlohmann::json;

namespace {

enum port_purpose : std::size_t
{
    caller_port,
    readiness_port,
    control_port,
    traffic_port,
    admin_port,
    worker_port,
    port_count,
};

// The maximum number of seeds in the settings of each node.
constexpr std::size_t max_seeds = 3;

constexpr std::chrono::seconds poll_timeout(10);

void sleep_for(core::milliseconds duration)
{
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context, duration);
    timer.wait();
}

} // namespace

call_result send_request(core::endpoint const& to, http::request const& it,
                         core::milliseconds timeout)
{
    auto const start = core::boot_clock::now();
    boost::asio::io_context context;
    auto const connection =
        std::make_shared<http::client_connection>(context.get_executor());
    call_result result;
    connection->connect(to, timeout, [&](core::result<void> const& connected) {
        if (!connected)
        {
            return;
        }
        http::exchange_options options;
        options.timeout = timeout;
        connection->exchange(http::serialize(it), std::move(options),
                             [&](http::exchange_result response) {
                                 if (response)
                                 {
                                     result.status = response->status;
                                     result.headers =
                                         std::move(response->headers);
                                     result.body = std::move(response->body);
                                 }
                                 connection->close();
                             });
    });
    context.run();
    result.took = core::boot_clock::now() - start;
    return result;
}

deployment::deployment(std::vector<vm_options> const& vms,
                       std::vector<route_options> const& routes)
    : ports_(port_count)
{
    std::string directory_template = "/tmp/yuccafall-XXXXXX";
    if (mkdtemp(directory_template.data()) == nullptr)
    {
        throw std::system_error(errno, std::generic_category(),
                                directory_template);
    }
    directory_ = directory_template;
    store_ = std::make_unique<fake_store>(
        core::endpoint{core::ip_address("127.0.0.1"), core::port_number(0)});
    for (std::size_t i = 0; i < vms.size(); ++i)
    {
        vm_state it;
        it.options = vms[i];
        it.address =
            core::ip_address(fmt::format("127.1.{}.{}", i / 200, i % 200 + 1));
        worker_options options;
        options.id = fmt::format("i-{}", i);
        options.service = it.options.service;
        options.slots = it.options.slots;
        options.service_time = it.options.service_time;
        options.cold_time = it.options.cold_time;
        options.max_cold_arrivals = it.options.max_cold_arrivals;
        it.worker = std::make_unique<fake_worker>(
            core::endpoint{it.address, ports_[worker_port].port()}, options);
        vms_.push_back(std::move(it));
        publish_worker(i);
    }
    publish(routes);
}

deployment::~deployment()
{
    vms_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void deployment::publish_worker(std::size_t vm, std::string const& state,
                                core::milliseconds cold_remaining)
{
    auto const& it = vms_[vm];
    json const entry = {{"service", it.options.service},
                        {"address", core::to_string(it.worker->local())},
                        {"zone", it.options.data_centre},
                        {"version", "v1"},
                        {"slots", it.options.slots},
                        {"state", state},
                        {"born", it.worker_start},
                        {"cold_left_ms", cold_remaining.count()},
                        {"sequence", 1}};
    store_->put("servers/" + it.worker->options().id, entry.dump());
}

void deployment::publish_restarted_worker(std::size_t vm)
{
    ++vms_[vm].worker_start;
    publish_worker(vm);
}

void deployment::remove_worker(std::size_t vm)
{
    store_->erase("servers/" + vms_[vm].worker->options().id);
}

std::uint64_t deployment::publish(std::vector<route_options> const& routes)
{
    version_ += 2;
    auto paths = json::array();
    std::map<std::string, double> cold_rates;
    for (auto const& it : routes)
    {
        paths.push_back({{"name", "r" + it.prefix},
                         {"prefix", it.prefix},
                         {"kind", it.kind},
                         {"timeout_ms", it.timeout_ms},
                         {"target_latency_ms", it.target_latency_ms},
                         {"priority", it.rank},
                         {"service", it.service},
                         {"max_attempts", 2}});
        auto& rate = cold_rates[it.service];
        rate = std::max(rate, it.cold_per_s);
    }
    auto services = json::array();
    for (auto const& [name, rate] : cold_rates)
    {
        services.push_back({{"name", name},
                            {"health_path", "/health"},
                            {"max_connections", 130},
                            {"protocol", "h1"},
                            {"tls", false}});
        if (rate > 0)
        {
            services.back()["cold_per_s"] = rate;
            services.back()["cold_start_s"] = 3.0;
        }
    }
    json const document = {
        {"version", version_},
        {"services", services},
        {"limits",
         {{"max_header_bytes", 16'384},
          {"max_body_bytes", max_body_.value()},
          {"header_timeout_ms", 3'000},
          {"idle_timeout_ms", 15'000}}},
        {"virtual_hosts", json::array({{{"host", host}, {"paths", paths}}})}};
    store_->put("op/config", document.dump());
    return version_;
}

std::string deployment::make_settings(std::size_t vm) const
{
    auto const& it = vms_[vm];
    auto const endpoint_text = [&](std::size_t purpose) {
        return fmt::format("{}:{}", it.address.value(),
                           ports_[purpose].port().value());
    };
    std::string seeds;
    for (std::size_t i = 0; i < std::min(max_seeds, vms_.size()); ++i)
    {
        seeds +=
            fmt::format("{}{}:{}", i == 0 ? "" : ", ", vms_[i].address.value(),
                        ports_[control_port].port().value());
    }
    return fmt::format(
        "vm: vm-{}\nservice: {}\ndata_centre: {}\n"
        "region: here\nendpoints:\n  callers: {}\n"
        "  readiness: {}\n  control: {}\n  traffic: {}\n"
        "  operators: {}\n  worker: {}\n  platform: {}\n"
        "seeds: [{}]\nbounds:\n  longest_drain_s: 6\n{}",
        vm, it.options.service, it.options.data_centre,
        endpoint_text(caller_port), endpoint_text(readiness_port),
        endpoint_text(control_port), endpoint_text(traffic_port),
        endpoint_text(admin_port), endpoint_text(worker_port),
        core::to_string(store_->local()), seeds, additional_settings_);
}

void deployment::start_node(std::size_t vm)
{
    auto const path = fmt::format("{}/node-{}.yaml", directory_, vm);
    std::ofstream(path) << make_settings(vm);
    vms_[vm].node.reset();
    vms_[vm].node = std::make_unique<child_process>(
        std::vector<std::string>{sibling_program_path("yuccafall"), "node",
                                 "--settings=" + path},
        fmt::format("{}/node-{}.log", directory_, vm));
}

void deployment::start_nodes()
{
    for (std::size_t i = 0; i < vms_.size(); ++i)
    {
        start_node(i);
    }
}

core::endpoint deployment::caller_endpoint(std::size_t vm) const
{
    return {vms_[vm].address, ports_[caller_port].port()};
}

core::endpoint deployment::admin_endpoint(std::size_t vm) const
{
    return {vms_[vm].address, ports_[admin_port].port()};
}

core::endpoint deployment::traffic_endpoint(std::size_t vm) const
{
    return {vms_[vm].address, ports_[traffic_port].port()};
}

core::endpoint deployment::readiness_endpoint(std::size_t vm) const
{
    return {vms_[vm].address, ports_[readiness_port].port()};
}

std::string deployment::log(std::size_t vm) const
{
    std::ifstream file(fmt::format("{}/node-{}.log", directory_, vm));
    return {std::istreambuf_iterator<char>(file), {}};
}

bool deployment::poll_until(std::function<bool()> const& condition)
{
    auto const deadline = core::boot_clock::now() + poll_timeout;
    while (core::boot_clock::now() < deadline)
    {
        if (condition())
        {
            return true;
        }
        sleep_for(core::milliseconds(5));
    }
    return false;
}

void deployment::report_node(std::size_t vm, std::string const& expected,
                             std::size_t polls, call_result const& last) const
{
    auto const& node = vms_[vm].node;
    std::string process = "was not started";
    if (node)
    {
        auto const status = node->wait_for(core::milliseconds(0));
        process = status ? fmt::format("has exited with status {}", *status)
                         : fmt::format("runs and has used {} ms of CPU time",
                                       node->cpu_time().count());
    }
    fmt::print(stderr,
               "node {} was not {} within {} s; responses requested: {}; "
               "status of the last one: {}; its body: \"{}\"; requests at the "
               "store: {}; the process {}; its log:\n{}\n",
               vm, expected, poll_timeout.count(), polls, last.status,
               last.body, store_->request_count(), process, log(vm));
}

bool deployment::wait_until_ready(std::size_t vm)
{
    std::size_t polls = 0;
    call_result last;
    bool const is_ready = poll_until([&] {
        ++polls;
        last =
            send_request(readiness_endpoint(vm), request("/v1/ready", "ready"),
                         core::milliseconds(500));
        return last.status == 200;
    });
    if (!is_ready)
    {
        report_node(vm, "ready", polls, last);
    }
    return is_ready;
}

bool deployment::wait_until_running(std::size_t vm)
{
    return poll_until([&] { return !worker(vm).counts().runs.empty(); });
}

bool deployment::wait_for_log(std::size_t vm, std::string const& text)
{
    return poll_until([&] { return log(vm).find(text) != std::string::npos; });
}

bool deployment::wait_for_version(std::size_t vm, std::uint64_t version)
{
    std::size_t polls = 0;
    call_result last;
    bool const is_applied = poll_until([&] {
        ++polls;
        last = send_request(admin_endpoint(vm), request("/status", "status"),
                            core::milliseconds(500));
        auto const body = json::parse(last.body, nullptr, false);
        return body.is_object() &&
               body.value("version", std::uint64_t{0}) >= version;
    });
    if (!is_applied)
    {
        report_node(vm, fmt::format("at version {}", version), polls, last);
    }
    return is_applied;
}

call_result deployment::call(std::size_t vm, http::request const& it,
                             core::milliseconds timeout)
{
    auto message = it;
    http::set_header(message.headers, "Timeout-Ms",
                     fmt::format("{}", timeout.count()));
    return send_request(caller_endpoint(vm), message, timeout);
}

http::request deployment::request(std::string const& target,
                                  std::string const& id,
                                  std::string const& method)
{
    http::request it;
    it.method = method;
    it.target = target;
    it.headers = {{"Host", host}, {"Attempt-Id", id}};
    return it;
}

} // namespace yuccafall::stand_ins
