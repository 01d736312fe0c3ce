// Writes one response after the other to a connection. It counts each in the
// memory account until it is written, measures whether the caller reads it, and
// ends it if the caller is too slow.
#ifndef YUCCAFALL_HTTP_RESPONSE_TRANSFER_HPP
#define YUCCAFALL_HTTP_RESPONSE_TRANSFER_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/memory_part.hpp"
#include "core/units.hpp"
#include "transport/paced_link.hpp"

namespace yuccafall::http {

class server;

// Must be used only on the server's thread. The socket and the server must
// outlive it.
class response_transfer
{
public:
    struct handlers
    {
        // Called when the response has been handed to the kernel.
        std::function<void()> written;
        // Called when the connection is to be closed. Must call release().
        std::function<void()> close;
    };

    response_transfer(boost::asio::ip::tcp::socket& socket,
                      server& owning_server, handlers calls);

    // Starts to write a response. The owner of this object is kept alive until
    // the response is written or the connection is closed. Precondition: no
    // response is being written.
    void start(std::shared_ptr<void> const& owner, std::string head,
               std::string body);

    // Checks whether the caller has read enough since the last check, and ends
    // the response if not. Returns whether the transfer is to be checked again
    // after the transfer window.
    bool check_progress();

    // Frees the response and what is held for it.
    void release();

private:
    // Requests the next part of a response that the link paces.
    void write_next_part(std::shared_ptr<void> const& owner);
    void write_part(std::shared_ptr<void> const& owner, std::size_t size);
    // Counts the response until it is written, and lets the server end it to
    // make room for others.
    void hold_memory();
    // Returns the bytes of the response that the caller's kernel has
    // acknowledged, less those of earlier responses that it has not.
    std::int64_t delivered_bytes();
    core::transfer_progress progress();
    // Resets the connection, so that the response does not look complete.
    void end(char const* reason);
    // Returns the next bytes of the response.
    std::array<boost::asio::const_buffer, 2>
    unwritten_bytes(std::size_t size) const;
    std::size_t size() const { return head_.size() + body_.size(); }

    boost::asio::ip::tcp::socket& socket_;
    server& server_;
    handlers handlers_;
    // Whether a response is being written.
    bool writing_ = false;
    std::string head_;
    std::string body_;
    // Number of bytes of the response that have been written, without those of
    // the current part.
    std::size_t bytes_written_ = 0;
    // Number of bytes of the current part that the kernel has accepted.
    std::size_t part_bytes_written_ = 0;
    core::held_memory memory_;
    // When the transfer began, moved by the time that it has waited for the
    // link, which is not the reader's fault.
    core::instant started_at_{};
    // Empty unless the response waits for a part of the link.
    std::optional<core::instant> waits_for_link_since_;
    // The value of delivered_bytes() at the last check of the progress. Empty
    // until the first check.
    std::optional<std::int64_t> delivered_at_last_check_;
    // The link's ticket of the response, or empty if none is being paced.
    std::optional<transport::link_ticket> ticket_;
};

} // namespace yuccafall::http

#endif
