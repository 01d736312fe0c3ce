// Accounts for the memory that one kind of data takes up, such as the responses
// that are held for callers, and decides whose data is dropped when the memory
// is used up. It does no I/O.
//
// A node has one part for each kind of data, each with a limit of its own, so
// that no kind can take the memory of another.
#ifndef YUCCAFALL_CORE_MEMORY_PART_HPP
#define YUCCAFALL_CORE_MEMORY_PART_HPP

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>

#include "core/counter.hpp"
#include "core/units.hpp"

namespace yuccafall::core {

// How much of the held data its reader has taken.
struct transfer_progress
{
    byte_count delivered;
    byte_count remaining;
    // When the transfer began.
    instant since;
};

// Returns how long the rest of the data takes at the reader's average rate.
// Each reader is assumed to have taken some data before, so that one that has
// just begun is not mistaken for a slow one.
duration expected_transfer_time(transfer_progress const& it, instant now);

// Returns whether the reader is too slow to keep its data while others need the
// memory.
bool is_slow(transfer_progress const& it, instant now);

// Returns when the reader becomes slow if it takes nothing more.
instant slow_after(transfer_progress const& it);

class held_memory;

// Not thread-safe except for used() and ended(), which any thread may call.
class memory_part
{
public:
    enum class eviction
    {
        slow_holders,
        all_holders,
    };

    explicit memory_part(byte_count limit) : limit_(limit) {}
    // With a reserve, which is a part of its own for data that must go on while
    // this part is full.
    memory_part(byte_count limit, byte_count reserve)
        : limit_(limit), reserve_(std::make_shared<memory_part>(reserve))
    {}
    memory_part(memory_part const&) = delete;
    memory_part& operator=(memory_part const&) = delete;

    byte_count limit() const { return limit_; }
    // Null if the part has no reserve.
    std::shared_ptr<memory_part> const& reserve() const { return reserve_; }
    byte_count used() const { return byte_count(value_of(used_)); }
    // Returns how many holders have been ended to make room.
    std::uint64_t ended() const { return value_of(ended_); }

    bool has_room(byte_count needed) const;
    // Returns whether the bytes may be held now. Those that would never fit may
    // be held while nothing else is.
    bool can_admit(byte_count needed) const;
    // Ends holders until there is room, those first whose readers need longest
    // for the rest of their data. Returns false if there is still no room.
    bool make_room(byte_count needed, eviction from, instant now);

    // Returns when the next holder becomes slow if its reader takes nothing
    // more, so that make_room() may end it. Includes the holders of the
    // reserve. Empty if there is no holder.
    std::optional<instant> next_slow_holder_at() const;

    // Returns whether all memory that is used belongs to holders that wait for
    // more of it, so that none of them can go on.
    bool all_wait() const;

private:
    friend class held_memory;

    // Notifies those whose bytes can be admitted now, and removes them from the
    // list. Each is notified regardless of the others: one that does not use
    // the room must not keep the next one waiting. If all wait and none can be
    // admitted, the first is notified.
    void notify_waiters();

    // Returns null if no holder may be ended.
    held_memory* find_slowest(eviction from, instant now) const;

    byte_count const limit_;
    std::shared_ptr<memory_part> const reserve_;
    // Invariant: the sum of the sizes of all held_memory objects of this part.
    counter used_{0};
    counter ended_{0};
    // Invariant: the objects with a holder.
    std::set<held_memory*> holders_;
    // Invariant: the objects that wait for room; the one that has waited
    // longest is at the front.
    std::list<held_memory*> waiters_;
};

// Returns how long data that waits for room waits before it checks again
// whether a slow holder can be ended. Empty if there is no holder.
std::optional<duration> slow_check_delay(memory_part const& it, instant now);

// Counts bytes in a part as long as the object exists. Without a part, it only
// stores the size.
class held_memory
{
public:
    // Whoever holds data for a reader and can drop it.
    struct holder
    {
        std::function<transfer_progress()> progress;
        // Must release the memory before it returns.
        std::function<void()> end;
    };

    held_memory() = default;
    explicit held_memory(std::shared_ptr<memory_part> part)
        : part_(std::move(part))
    {}
    held_memory(held_memory const&) = delete;
    held_memory& operator=(held_memory const&) = delete;
    ~held_memory();

    // Releases the bytes that are held and counts later ones in this part.
    void set_part(std::shared_ptr<memory_part> part);
    // From now on, the part may end the holder to make room.
    void set_holder(holder it);
    // Sets the number of bytes, even if the part has no room for them.
    void resize(byte_count size);
    // Calls the handler once when the part can admit `needed` more bytes, or
    // when all_wait() has become true. The handler runs while another object
    // releases memory, so it must only post the work, which then checks the
    // room again. A later call replaces the handler. Precondition: the object
    // has a part.
    void wait_for_room(byte_count needed, std::function<void()> notify);
    void stop_waiting();
    // Releases the bytes and the holder, and stops waiting.
    void release();

    byte_count size() const { return size_; }

private:
    friend class memory_part;

    std::shared_ptr<memory_part> part_;
    byte_count size_;
    holder holder_;
    // How many more bytes the object waits for, and whom to notify. Empty while
    // it does not wait.
    byte_count needed_;
    std::function<void()> notify_;
};

} // namespace yuccafall::core

#endif
