// Stands in for the platform's metadata store, by its published protocol:
// reads in pages, watches, a history that may be dropped, and outages.
#ifndef YUCCAFALL_STAND_INS_STORE_STAND_IN_HPP
#define YUCCAFALL_STAND_INS_STORE_STAND_IN_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/query.hpp"
#include "http/server.hpp"
#include "stand_ins/service_thread.hpp"

namespace yuccafall::stand_ins {

enum class store_mode
{
    serves,
    // Answers 503 to everything.
    busy,
    // Accepts connections and answers nothing.
    silent,
};

class store_stand_in
{
public:
    explicit store_stand_in(core::endpoint const& at);
    ~store_stand_in();

    core::endpoint local() const { return local_; }

    // Returns the revision of the change.
    std::uint64_t put(std::string const& key, std::string const& value);
    std::uint64_t erase(std::string const& key);
    void set_mode(store_mode it);
    // Watches of older revisions are answered 410.
    void drop_history();
    std::uint64_t calls();

private:
    struct change
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };
    struct waiting_watch
    {
        std::shared_ptr<http::server_connection> caller;
        std::string prefix;
        std::uint64_t after = 0;
    };

    void handle(std::shared_ptr<http::server_connection> const& caller,
                http::request const& it);
    http::response range(http::parsed_target const& target) const;
    void watch(std::shared_ptr<http::server_connection> const& caller,
               http::parsed_target const& target);
    bool answer_watch(waiting_watch const& it, bool at_end);
    std::uint64_t add(change it);

    service_thread thread_;
    core::endpoint local_;
    // Below: used on the thread.
    std::shared_ptr<http::server> server_;
    std::map<std::string, change> items_;
    std::vector<change> history_;
    std::uint64_t dropped_until_ = 0;
    std::uint64_t revision_ = 1;
    std::vector<std::shared_ptr<waiting_watch>> watches_;
    store_mode mode_ = store_mode::serves;
    std::uint64_t calls_ = 0;
};

} // namespace yuccafall::stand_ins

#endif
