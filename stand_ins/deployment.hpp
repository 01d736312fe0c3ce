// A test deployment on the local machine. The store and the workers are fakes
// that run inside the test process, the nodes are processes of the real
// program, and each VM has a loopback address of its own.
#ifndef YUCCAFALL_STAND_INS_DEPLOYMENT_HPP
#define YUCCAFALL_STAND_INS_DEPLOYMENT_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "stand_ins/child_process.hpp"
#include "stand_ins/fake_store.hpp"
#include "stand_ins/fake_worker.hpp"
#include "stand_ins/port_reservation.hpp"

namespace yuccafall::stand_ins {

struct vm_options
{
    std::string data_centre;
    std::string service;
    // The maximum number of requests that the worker runs at the same time.
    std::size_t slots = 6;
    // How long the worker runs each request.
    core::milliseconds service_time{10};
    // How long the worker is cold after it starts.
    core::milliseconds cold_time{0};
    // See worker_options.
    std::size_t max_cold_arrivals = 0;
};

struct route_options
{
    std::string prefix;
    // "idempotent", "non_idempotent" or "upload".
    std::string kind = "idempotent";
    std::string service;
    int timeout_ms = 2'000;
    int target_latency_ms = 500;
    // The priority class; 0 is the most urgent.
    int rank = 1;
    // Requests a second that a cold worker of the service takes, or 0 if its
    // configuration states no cold rate.
    double cold_per_s = 0;
};

// The result of one request that a caller has sent.
struct call_result
{
    // The HTTP status code, or 0 if the connection ended without a response.
    int status = 0;
    http::header_list headers;
    std::string body;
    core::duration took{};
};

class deployment
{
public:
    // Starts the fake store and the fake workers, and publishes the workers and
    // the first configuration. The nodes are started separately.
    deployment(std::vector<vm_options> const& vms,
               std::vector<route_options> const& routes);
    ~deployment();

    std::size_t size() const { return vms_.size(); }

    // Appends lines to the settings of all nodes that are started from now on.
    void add_settings(std::string lines)
    {
        additional_settings_ = std::move(lines);
    }
    void start_node(std::size_t vm);
    void start_nodes();
    child_process& node(std::size_t vm) { return *vms_[vm].node; }
    void kill_node(std::size_t vm) { vms_[vm].node.reset(); }
    fake_worker& worker(std::size_t vm) { return *vms_[vm].worker; }
    fake_store& store() { return *store_; }

    // Sets the limit of a request's body that later configurations state.
    void set_max_body(core::byte_count it) { max_body_ = it; }
    // Publishes a new configuration and returns its version. The first version
    // is 2 and each later one is 2 higher.
    std::uint64_t publish(std::vector<route_options> const& routes);
    void publish_worker(std::size_t vm, std::string const& state = "ready",
                        core::milliseconds cold_remaining = {});
    // Publishes the worker as one that has started again under its id.
    void publish_restarted_worker(std::size_t vm);
    void remove_worker(std::size_t vm);

    core::endpoint caller_endpoint(std::size_t vm) const;
    core::endpoint admin_endpoint(std::size_t vm) const;
    core::endpoint traffic_endpoint(std::size_t vm) const;
    core::endpoint readiness_endpoint(std::size_t vm) const;
    std::string log(std::size_t vm) const;

    // Waits until the condition holds. Returns false after ten seconds.
    static bool poll_until(std::function<bool()> const& condition);
    // Waits until the node is ready. Returns false after ten seconds. The state
    // and the log of the node are then printed to the standard error.
    bool wait_until_ready(std::size_t vm);
    // Waits until the worker has begun to run a request. Returns false after
    // ten seconds.
    bool wait_until_running(std::size_t vm);
    // Waits until the node has logged the text. Returns false after ten
    // seconds.
    bool wait_for_log(std::size_t vm, std::string const& text);
    // Waits until the node has applied the version or a newer one. Returns
    // false after ten seconds, as wait_until_ready() does.
    bool wait_for_version(std::size_t vm, std::uint64_t version);

    // Sends a request to the node as a caller does, and states the timeout in
    // the request.
    call_result call(std::size_t vm, http::request const& it,
                     core::milliseconds timeout = core::milliseconds(3'000));
    // Creates a request for the configured host. The id identifies the caller's
    // attempt.
    static http::request request(std::string const& target,
                                 std::string const& id,
                                 std::string const& method = "GET");

    static constexpr char host[] = "shop.example";

private:
    struct vm_state
    {
        vm_options options;
        core::ip_address address;
        std::unique_ptr<fake_worker> worker;
        std::unique_ptr<child_process> node;
        // Stands for the time at which the worker started.
        std::uint64_t worker_start = 1;
    };

    std::string make_settings(std::size_t vm) const;
    // Prints what the node was not, the last of the responses that said so,
    // whether the node's process runs, and the node's log.
    void report_node(std::size_t vm, std::string const& expected,
                     std::size_t polls, call_result const& last) const;

    std::string directory_;
    std::string additional_settings_;
    // The kernel has chosen each port as free on all addresses. Every VM uses
    // the same ports on its own address.
    std::vector<port_reservation> ports_;
    std::unique_ptr<fake_store> store_;
    std::vector<vm_state> vms_;
    std::uint64_t version_ = 0;
    core::byte_count max_body_{1'000'000};
};

// Sends one request on a new connection and waits for the response.
call_result send_request(core::endpoint const& to, http::request const& it,
                         core::milliseconds timeout);

} // namespace yuccafall::stand_ins

#endif
