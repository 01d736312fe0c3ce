// Writes responses in parts, and decides whether their readers keep up.
#include "http/response_transfer.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>

#include "core/log.hpp"
#include "http/remote_name.hpp"
#include "http/server.hpp"

namespace yuccafall::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Largest number of bytes that are passed to the kernel at once.
constexpr std::size_t max_write_size = 256UL * 1024;

} // namespace

response_transfer::response_transfer(tcp::socket& socket, server& owning_server,
                                     handlers calls)
    : socket_(socket), server_(owning_server), handlers_(std::move(calls))
{}

void response_transfer::start(std::shared_ptr<void> const& owner,
                              std::string head, std::string body)
{
    head_ = std::move(head);
    body_ = std::move(body);
    bytes_written_ = 0;
    part_bytes_written_ = 0;
    writing_ = true;
    delivered_at_last_check_.reset();
    started_at_ = core::boot_clock::now();
    hold_memory();
    auto const& link = server_.settings().link;
    if (link && size() > transport::max_unpaced_message.value())
    {
        ticket_ = link->open(core::byte_count(size()));
        write_next_part(owner);
        return;
    }
    write_part(owner, size());
}

void response_transfer::hold_memory()
{
    auto const& part = server_.settings().response_memory;
    core::byte_count const needed(size());
    if (part)
    {
        // A short response, such as a refusal, ends no reader that keeps up.
        // Without room, the response is held all the same: what is reserved for
        // responses that have not arrived takes no memory yet.
        part->make_room(needed,
                        needed <= transport::max_unpaced_message
                            ? core::memory_part::eviction::slow_holders
                            : core::memory_part::eviction::all_holders,
                        started_at_);
    }
    memory_.set_part(part);
    memory_.resize(needed);
    memory_.set_holder({[this] { return progress(); },
                        [this] {
                            core::add(
                                server_.counters().responses_ended_for_memory);
                            end("memory");
                        }});
}

void response_transfer::release()
{
    writing_ = false;
    waits_for_link_since_.reset();
    head_ = {};
    body_ = {};
    memory_.release();
    if (ticket_)
    {
        server_.settings().link->close(*ticket_);
        ticket_.reset();
    }
}

std::int64_t response_transfer::delivered_bytes()
{
    int unacknowledged = 0;
    auto const accepted = bytes_written_ + part_bytes_written_;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
    if (::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) != 0)
    {
        // The socket is closed, and the pending write is about to fail.
        return static_cast<std::int64_t>(accepted);
    }
    return static_cast<std::int64_t>(accepted) - unacknowledged;
}

core::transfer_progress response_transfer::progress()
{
    auto const delivered = static_cast<std::uint64_t>(
        std::max<std::int64_t>(delivered_bytes(), 0));
    auto const waited = waits_for_link_since_
                            ? core::boot_clock::now() - *waits_for_link_since_
                            : core::duration::zero();
    return {
        core::byte_count(delivered),
        core::byte_count(size() - std::min<std::uint64_t>(delivered, size())),
        started_at_ + waited};
}

bool response_transfer::check_progress()
{
    if (!writing_)
    {
        return false;
    }
    if (waits_for_link_since_)
    {
        delivered_at_last_check_.reset();
        return true;
    }
    auto const delivered = delivered_bytes();
    auto const previous = std::exchange(delivered_at_last_check_, delivered);
    auto const min_progress =
        static_cast<std::int64_t>(server_.settings().min_transfer().value());
    if (previous && delivered - *previous < min_progress)
    {
        core::add(server_.counters().slow_responses_ended);
        end("slow_reader");
        return false;
    }
    return true;
}

void response_transfer::end(char const* reason)
{
    if (core::admit_request_line(core::request_event::exceptional))
    {
        auto const state = progress();
        core::log_event(
            core::log_level::info, "response_ended",
            {{"remote", remote_name(socket_)},
             {"reason", reason},
             {"delivered", state.delivered.value()},
             {"held", memory_.size().value()},
             {"took_ms", std::chrono::duration_cast<core::milliseconds>(
                             core::boot_clock::now() - state.since)
                             .count()}});
    }
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    handlers_.close();
}

std::array<asio::const_buffer, 2>
response_transfer::unwritten_bytes(std::size_t size) const
{
    auto const done = bytes_written_;
    auto const head_done = std::min(done, head_.size());
    auto const head = asio::buffer(head_.data() + head_done,
                                   std::min(size, head_.size() - head_done));
    auto const body =
        asio::buffer(body_.data() + (done - head_done), size - head.size());
    return {head, body};
}

void response_transfer::write_next_part(std::shared_ptr<void> const& owner)
{
    waits_for_link_since_ = core::boot_clock::now();
    server_.settings().link->request(
        *ticket_, [this, owner](core::byte_count size) {
            started_at_ += core::boot_clock::now() - *waits_for_link_since_;
            waits_for_link_since_.reset();
            write_part(owner, size.value());
        });
}

void response_transfer::write_part(std::shared_ptr<void> const& owner,
                                   std::size_t size)
{
    // A connection that has been closed has freed its response.
    if (!writing_)
    {
        return;
    }
    asio::async_write(
        socket_, unwritten_bytes(size),
        [this, owner](error_code const& ec, std::size_t n) {
            part_bytes_written_ = n;
            return ec ? std::size_t{0} : max_write_size;
        },
        [this, owner](error_code const& ec, std::size_t n) {
            if (ec || !writing_)
            {
                handlers_.close();
                return;
            }
            part_bytes_written_ = 0;
            bytes_written_ += n;
            if (bytes_written_ < this->size())
            {
                write_next_part(owner);
                return;
            }
            release();
            handlers_.written();
        });
}

} // namespace yuccafall::http
