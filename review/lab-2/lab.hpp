// Stand-ins for the store, the workers, the clients and the supervision of the
// processes, for the scripts of this review. All addresses are loopback
// addresses; each machine has one of its own.
#ifndef YUCCAFALL_REVIEW_LAB_2_LAB_HPP
#define YUCCAFALL_REVIEW_LAB_2_LAB_HPP

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lab {

// Seconds since the program started.
double now();
void sleep_for(double seconds);
void sleep_until(double time);

// Writes record.txt. Each line begins with the time.
class record
{
public:
    explicit record(std::string const& path);
    void add(std::string const& line);

private:
    std::mutex mutex_;
    int file_ = -1;
};

struct header
{
    std::string name;
    std::string value;
};

struct message
{
    // The method and the target of a request, or the status of a response.
    std::string method;
    std::string target;
    int status = 0;
    std::vector<header> headers;
    std::string body;

    std::string const* find(std::string const& name) const;
};

enum class read_result
{
    complete,
    // The connection ended, or was reset, before the message was complete.
    broken_off,
    timed_out,
};

// One TCP connection with the bytes that were read ahead.
class connection
{
public:
    explicit connection(int fd) : fd_(fd) {}
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    // Returns null if the connection cannot be opened in time.
    static std::unique_ptr<connection> open(std::string const& ip, int port,
                                            double timeout);
    bool write(std::string const& bytes, double deadline);
    // Reads a message with a length or in chunks, or a response that ends with
    // its connection.
    read_result read(message& into, bool is_request, double deadline);
    // Returns whether the peer has closed the connection.
    bool closed_by_peer() const;
    int fd() const { return fd_; }
    bool started() const { return started_; }

private:
    bool fill(double deadline, bool& timed_out);

    int fd_;
    std::string buffer_;
    bool started_ = false;
};

int listen_at(std::string const& ip, int port);

// The platform's store: range and watch over a list of items.
class store
{
public:
    store(std::string const& ip, int port);
    ~store();
    std::uint64_t put(std::string const& key, std::string const& value);
    std::uint64_t remove(std::string const& key);

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };
    void accept_loop();
    void serve(int fd);
    std::string range(std::string const& after);
    std::string watch(std::uint64_t after, double wait);
    static std::string json(std::string const& key, item const& it);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 100;
    int listener_;
    std::thread acceptor_;
    std::atomic<bool> stopped_{false};
};

struct run
{
    std::string id;
    std::string target;
    std::string caller_service;
    double began = 0;
    std::size_t body_size = 0;
};

// A worker that keeps to the pages: it runs `slots` requests at a time, queues
// others, answers 421 to those for another worker, stops at Timeout-Ms. If the
// last part of the path is a number, the response has at least that many bytes.
class worker
{
public:
    // Returns how long the work on a request takes, in seconds.
    using work_function = std::function<double(message const&)>;

    worker(std::string id, std::string const& ip, int port, int slots,
           work_function work, record& log);
    ~worker();
    std::vector<run> runs();

private:
    void accept_loop();
    void serve(int fd);
    std::string handle(message const& it, double arrived);

    std::string id_;
    int slots_;
    work_function work_;
    record& log_;
    std::mutex mutex_;
    std::condition_variable slot_free_;
    int running_ = 0;
    std::vector<run> runs_;
    int listener_;
    std::thread acceptor_;
    std::atomic<bool> stopped_{false};
};

struct machine
{
    std::string name;
    std::string ip;
    std::string data_centre;
    std::string service;
};

struct layout
{
    // The ports, the same on all machines.
    int callers = 0;
    int readiness = 0;
    int control = 0;
    int traffic = 0;
    int operators = 0;
    int worker = 0;
    std::string store_ip;
    int store = 0;
    std::vector<std::string> seeds;
    int memory_mb = 260;
    double link_mbps = 1000;
};

// Chooses ports that are free on all the addresses.
layout choose_layout(std::vector<machine> const& machines);

// A node process, started with the command of the deploy file.
class node
{
public:
    node(machine it, layout const& where, std::string program,
         std::string folder, record& log);
    ~node();
    void start();
    void signal(int number);
    // Writes the settings file anew with another service of the worker beside
    // the node. The process is not told.
    void change_service(std::string const& service);
    bool ready(double timeout = 0.5) const;
    bool running();
    // Returns the memory that the platform counts, in bytes: what the process
    // has allocated, and the bytes that have arrived for it and that it has not
    // read. Returns 0 if the process has ended.
    std::uint64_t memory() const;
    pid_t pid() const { return pid_; }
    machine const& where() const { return machine_; }

private:
    std::string write_settings() const;

    machine machine_;
    layout layout_;
    std::string program_;
    std::string folder_;
    record& log_;
    std::atomic<pid_t> pid_{0};
    std::mutex mutex_;
};

// Waits until all nodes are ready, and three seconds at least. Returns false if
// one is not after twenty seconds.
bool wait_until_ready(std::vector<std::unique_ptr<node>> const& nodes,
                      record& log);

// Watches the memory of a node as the platform does: it ends the process at the
// limit, and starts a process that has ended again.
class supervisor
{
public:
    supervisor(node& it, std::uint64_t memory_limit, record& log);
    ~supervisor();
    // Returns how many processes of the node have ended.
    int ends() const { return ends_; }
    std::string summary() const;

private:
    void watch();

    node& node_;
    std::uint64_t memory_limit_;
    record& log_;
    std::atomic<bool> stopped_{false};
    std::atomic<int> ends_{0};
    std::atomic<std::uint64_t> peak_{0};
    std::thread thread_;
};

struct answer
{
    bool connected = false;
    read_result result = read_result::broken_off;
    message content;
};

// Sends one request over a new connection, and waits for its answer.
answer send_request(std::string const& ip, int port, std::string const& request,
                    double deadline);

std::string request_text(std::string const& method, std::string const& host,
                         std::string const& target, std::string const& id,
                         int timeout_ms, std::string const& body);

std::string worker_entry(machine const& it, layout const& where, int slots,
                         std::string const& state, int sequence, long born);

} // namespace lab

#endif
