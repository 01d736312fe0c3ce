// Wraps a value in a distinct type, so that one kind of id or unit cannot be
// passed where another one is expected.
#ifndef YUCCAFALL_CORE_STRONG_HPP
#define YUCCAFALL_CORE_STRONG_HPP

#include <cstddef>
#include <functional>
#include <type_traits>
#include <utility>

namespace yuccafall::core {

template <class Tag, class Rep>
class strong
{
public:
    using rep = Rep;

    constexpr strong() = default;
    explicit constexpr strong(Rep value) noexcept(
        std::is_nothrow_move_constructible_v<Rep>)
        : value_(std::move(value))
    {}

    constexpr Rep const& value() const noexcept { return value_; }

    friend bool operator==(strong const& a, strong const& b)
    {
        return a.value_ == b.value_;
    }
    friend bool operator!=(strong const& a, strong const& b)
    {
        return !(a == b);
    }
    friend bool operator<(strong const& a, strong const& b)
    {
        return a.value_ < b.value_;
    }
    friend bool operator>(strong const& a, strong const& b) { return b < a; }
    friend bool operator<=(strong const& a, strong const& b)
    {
        return !(b < a);
    }
    friend bool operator>=(strong const& a, strong const& b)
    {
        return !(a < b);
    }

private:
    Rep value_{};
};

} // namespace yuccafall::core

template <class Tag, class Rep>
struct std::hash<yuccafall::core::strong<Tag, Rep>>
{
    std::size_t
    operator()(yuccafall::core::strong<Tag, Rep> const& it) const noexcept
    {
        return std::hash<Rep>{}(it.value());
    }
};

#endif
