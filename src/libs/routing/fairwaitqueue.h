#pragma once

#include "base/ids.h"
#include "routing/work.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Routing {

/// Work that waits for a server, in an order that is fair among customers.
///
/// Load: one customer sends many times its usual. In order of arrival its work would stand before
/// everybody's; here the customer that has received least is next, so the flood waits behind
/// itself. Within a customer, the more urgent class goes first, and then who must start first.
class FairWaiting
{
public:
    /// Service that a customer has received of late, in the whole fleet.
    using Received = std::function<double(const Base::CustomerId &)>;

    void push(Work work);
    /// The work that is next; empty if none waits.
    std::optional<Work> takeNext(const Received &received);
    bool remove(WorkId id);
    /// Takes out all work for which \a isHopeless holds.
    std::vector<Work> takeIf(const std::function<bool(const Work &)> &isHopeless);

    std::size_t size() const { return m_size; }
    bool isEmpty() const { return m_size == 0; }
    std::size_t customers() const { return m_byCustomer.size(); }
    std::uint64_t tokensOf(const Base::CustomerId &customer) const;
    std::uint64_t tokens() const { return m_tokens; }

private:
    void forget(const Work &work);

    std::map<Base::CustomerId, std::vector<Work>> m_byCustomer;
    std::size_t m_size = 0;
    std::uint64_t m_tokens = 0;
};

} // namespace Routing
