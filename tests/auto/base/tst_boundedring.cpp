#include "base/boundedring.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>

TEST_CASE("a bounded ring keeps the order and does not exceed its capacity", "[base]")
{
    rc::prop("behaves like a std::deque of bounded size", [](const std::vector<bool> &steps) {
        constexpr std::size_t capacity = 3;
        Base::BoundedRing<int> ring(capacity);
        std::deque<int> expected;
        int n = 0;
        for (const bool isPush : steps) {
            if (isPush) {
                int value = ++n;
                const bool isPushed = ring.tryPush(value);
                RC_ASSERT(isPushed == (expected.size() < capacity));
                if (isPushed)
                    expected.push_back(n);
                continue;
            }
            const std::optional<int> value = ring.popFor(Base::Duration::zero());
            RC_ASSERT(value.has_value() == !expected.empty());
            if (!value)
                continue;
            RC_ASSERT(*value == expected.front());
            expected.pop_front();
        }
    });
}
