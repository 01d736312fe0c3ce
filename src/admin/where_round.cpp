// One connection for each node that is asked.
#include "admin/where_round.hpp"

#include "http/client_connection.hpp"

namespace yuccafall::admin {

namespace {

// Nodes asked at the same time; 5,500 nodes take some seconds.
constexpr std::size_t most_at_once = 64;
constexpr core::milliseconds longest_wait{1'500};

} // namespace

where_round::where_round(boost::asio::io_context& context,
                         std::vector<node_place> nodes, handler done)
    : context_(context), nodes_(std::move(nodes)), done_(std::move(done)),
      answers_(nodes_.size())
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        answers_[i].data_centre = nodes_[i].data_centre;
        answers_[i].name = core::to_string(nodes_[i].operators);
    }
}

void where_round::start()
{
    if (nodes_.empty())
    {
        done_({});
        return;
    }
    for (std::size_t i = 0; i < most_at_once && next_ < nodes_.size(); ++i)
    {
        ask_next();
    }
}

void where_round::ask_next()
{
    auto const index = next_++;
    auto const connection =
        std::make_shared<http::client_connection>(context_.get_executor());
    auto const self = shared_from_this();
    connection->connect(
        nodes_[index].operators, longest_wait,
        [self, index, connection](core::result<void> const& connected) {
            if (!connected)
            {
                self->ended();
                return;
            }
            http::request message;
            message.method = "GET";
            message.target = "/status";
            message.headers.push_back({"Host", self->answers_[index].name});
            http::exchange_terms terms;
            terms.timeout = longest_wait;
            connection->exchange(
                http::serialize(message), std::move(terms),
                [self, index, connection](http::exchange_result const& it) {
                    if (it)
                    {
                        self->answered(index, it->body);
                    }
                    connection->close();
                    self->ended();
                });
        });
}

void where_round::answered(std::size_t index, std::string const& body)
{
    if (auto it = parse_status(body))
    {
        answers_[index] = std::move(*it);
    }
}

void where_round::ended()
{
    ++ended_;
    if (next_ < nodes_.size())
    {
        ask_next();
        return;
    }
    if (ended_ == nodes_.size())
    {
        done_(std::move(answers_));
    }
}

} // namespace yuccafall::admin
