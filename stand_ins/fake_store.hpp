// A fake of the platform's metadata store. It implements the store's published
// protocol, which has paged reads, watches and a change history that the store
// may discard, and it simulates outages.
#ifndef YUCCAFALL_STAND_INS_FAKE_STORE_HPP
#define YUCCAFALL_STAND_INS_FAKE_STORE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/query.hpp"
#include "http/server.hpp"
#include "stand_ins/io_context_thread.hpp"

namespace yuccafall::stand_ins {

enum class store_mode
{
    available,
    // The store responds to every request with status 503.
    unavailable,
    // The store accepts connections but never sends a response.
    unresponsive,
    // The store closes the connection of every request without a response.
    closing,
};

class fake_store
{
public:
    explicit fake_store(core::endpoint const& at);
    ~fake_store();

    core::endpoint local() const { return local_; }

    // put() and erase() return the revision of the change.
    std::uint64_t put(std::string const& key, std::string const& value);
    std::uint64_t erase(std::string const& key);
    void set_mode(store_mode mode);
    // Discards the history of all changes so far. A watch that starts at an
    // older revision then gets status 410.
    void discard_history();
    std::uint64_t request_count();

private:
    struct change
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };
    struct pending_watch
    {
        std::shared_ptr<http::server_connection> caller;
        std::string prefix;
        // The watch asks for the changes that are newer than this revision.
        std::uint64_t after_revision = 0;
    };

    void handle(std::shared_ptr<http::server_connection> const& caller,
                http::request const& it);
    http::response handle_range(http::parsed_target const& target) const;
    void handle_watch(std::shared_ptr<http::server_connection> const& caller,
                      http::parsed_target const& target);
    // Responds with the changes that the watch asks for. Sends no response and
    // returns false if there are none, unless allow_empty is set, or if the
    // store simulates an outage.
    bool respond_to_watch(pending_watch const& it, bool allow_empty);
    std::uint64_t apply_change(change it);

    io_context_thread thread_;
    core::endpoint local_;
    // Invariant: all members that follow are used only on the thread of
    // thread_.
    std::shared_ptr<http::server> server_;
    std::map<std::string, change> items_;
    std::vector<change> history_;
    // The newest revision whose change has been discarded from the history.
    std::uint64_t discarded_revision_ = 0;
    std::uint64_t revision_ = 1;
    std::vector<std::shared_ptr<pending_watch>> pending_watches_;
    store_mode mode_ = store_mode::available;
    std::uint64_t request_count_ = 0;
};

} // namespace yuccafall::stand_ins

#endif
