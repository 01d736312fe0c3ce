// Asks all nodes for their status, a bounded number at a time.
#ifndef YUCCAFALL_ADMIN_WHERE_ROUND_HPP
#define YUCCAFALL_ADMIN_WHERE_ROUND_HPP

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "admin/admin_server.hpp"
#include "admin/replies.hpp"

namespace yuccafall::admin {

class where_round : public std::enable_shared_from_this<where_round>
{
public:
    using handler = std::function<void(std::vector<node_answer>)>;

    where_round(boost::asio::io_context& context, std::vector<node_place> nodes,
                handler done);

    void start();

private:
    void ask_next();
    void answered(std::size_t index, std::string const& body);
    void ended();

    boost::asio::io_context& context_;
    std::vector<node_place> nodes_;
    handler done_;
    std::vector<node_answer> answers_;
    std::size_t next_ = 0;
    std::size_t ended_ = 0;
};

} // namespace yuccafall::admin

#endif
