// Counts the frames of a connection in the memory account, and waits until
// there is room for the next frame.
#include "transport/frame_connection.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

namespace yuccafall::transport {

namespace asio = boost::asio;
using boost::system::error_code;

void frame_connection::count_memory()
{
    if (!options_.memory || !open_)
    {
        return;
    }
    if (memory_.size().value() + reserved_frame_.size().value() == 0)
    {
        busy_since_ = core::boot_clock::now();
        written_when_busy_ = total_written_;
    }
    auto const in_reserve = frame_in_reserve_ ? admitted_frame_ : 0;
    hold(memory_, queued_bytes_ + admitted_frame_ - in_reserve);
    hold(reserved_frame_, in_reserve);
}

void frame_connection::hold(core::held_memory& it, std::size_t size)
{
    // An object that holds nothing may wait for room, which release() ends.
    if (it.size().value() == size)
    {
        return;
    }
    if (size == 0)
    {
        it.release();
        return;
    }
    if (it.size().value() == 0)
    {
        it.set_holder(
            {[this] { return progress(); }, [this] { close_for_memory(); }});
    }
    it.resize(core::byte_count(size));
}

core::transfer_progress frame_connection::progress() const
{
    auto const written =
        total_written_ + written_of_current_ - written_when_busy_;
    auto const held = queued_bytes_ + admitted_frame_;
    auto const done = written_of_current_ + reader_.received() +
                      (paced_queue_.empty() ? 0 : paced_queue_.front().written);
    auto const waited = part_requested_
                            ? core::boot_clock::now() - part_requested_at_
                            : core::duration::zero();
    return {core::byte_count(written + reader_.received()),
            core::byte_count(held - std::min(held, done)),
            busy_since_ + waited};
}

void frame_connection::close_for_memory()
{
    log_end("memory");
    close({core::error_kind::io, "the memory for frames is used up"});
}

void frame_connection::record_arriving_frame()
{
    if (admitted_frame_ > max_unpaced_message.value() &&
        !core::is_slow(progress(), core::boot_clock::now()))
    {
        record_activity();
    }
}

bool frame_connection::has_room_for_frame()
{
    auto const length = reader_.frame_length();
    if (!options_.memory || length == admitted_frame_)
    {
        return true;
    }
    auto* part = options_.memory.get();
    if (length > max_unpaced_message.value())
    {
        part = find_part_with_room(core::byte_count(length));
    }
    if (part == nullptr)
    {
        return false;
    }
    frame_in_reserve_ = part != options_.memory.get();
    admitted_frame_ = length;
    count_memory();
    return true;
}

bool frame_connection::fits_reserve(core::byte_count needed) const
{
    auto const& reserve = options_.memory->reserve();
    return reserve && needed <= reserve->limit();
}

core::memory_part*
frame_connection::find_part_with_room(core::byte_count needed)
{
    auto* const part = options_.memory.get();
    auto* const reserve = part->reserve().get();
    auto const now = core::boot_clock::now();
    if (part->can_admit(needed))
    {
        return part;
    }
    if (fits_reserve(needed) && reserve->has_room(needed))
    {
        return reserve;
    }
    part->make_room(needed, core::memory_part::eviction::slow_holders, now);
    // A frame that would never fit is received while nothing else is held.
    if (part->can_admit(needed))
    {
        return part;
    }
    if (fits_reserve(needed) &&
        reserve->make_room(needed, core::memory_part::eviction::slow_holders,
                           now))
    {
        return reserve;
    }
    return nullptr;
}

void frame_connection::wait_for_room()
{
    if (!std::exchange(waiting_for_room_, true))
    {
        unread_data_.start(socket_);
    }
    auto const notify = [weak = weak_from_this(), on = executor()] {
        asio::post(on, [weak] {
            if (auto const self = weak.lock())
            {
                self->read();
            }
        });
    };
    core::byte_count const needed(reader_.frame_length());
    room_waiter_.wait_for_room(needed, notify);
    if (fits_reserve(needed))
    {
        reserved_frame_.wait_for_room(needed, notify);
    }
    room_timer_.expires_at(asio::steady_timer::time_point::max());
    auto const delay =
        core::slow_check_delay(*options_.memory, core::boot_clock::now());
    if (delay)
    {
        room_timer_.expires_after(*delay);
    }
    // As a pending read does, the timer keeps the connection alive.
    room_timer_.async_wait([self = shared_from_this()](error_code const& ec) {
        if (!ec)
        {
            self->read();
        }
    });
}

void frame_connection::stop_waiting_for_room()
{
    if (std::exchange(waiting_for_room_, false))
    {
        room_waiter_.stop_waiting();
        reserved_frame_.stop_waiting();
        error_code ignored;
        room_timer_.cancel(ignored);
    }
}

core::instant frame_connection::last_read()
{
    auto const arrival =
        waiting_for_room_ ? unread_data_.new_arrival(socket_) : std::nullopt;
    last_read_ = std::max(last_read_, arrival.value_or(last_read_));
    return last_read_;
}

} // namespace yuccafall::transport
