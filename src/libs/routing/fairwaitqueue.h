#pragma once

#include "base/ids.h"
#include "routing/work.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// Holds the requests that wait for a server, in an order that is fair among customers.
///
/// If requests were served in order of arrival, those of a customer that sends many times its usual
/// load would delay everybody else's. Here the customer that has received least is next, so the
/// requests of a flood wait behind each other. Within a customer, requests with a more urgent
/// priority go first, and then those that must start first.
///
/// Streams that their callers take up go before all of these. Only the few servers of one software
/// version may go on with them, while others may begin anywhere.
class FairWaitQueue
{
public:
    /// Returns the service that a customer has recently received in the whole fleet.
    using Received = std::function<double(const Base::CustomerId &)>;

    void push(Work work);
    /// Removes and returns the next request, or nothing if none waits.
    std::optional<Work> takeNext(const Received &received);
    bool remove(WorkId id);
    /// Removes and returns all requests for which \a predicate holds.
    std::vector<Work> takeIf(const std::function<bool(const Work &)> &predicate);

    std::size_t size() const { return m_size; }
    bool isEmpty() const { return m_size == 0; }
    std::size_t customers() const { return m_byCustomer.size(); }
    std::uint64_t tokensOf(const Base::CustomerId &customer) const;
    std::uint64_t tokens() const { return m_tokens; }
    /// Returns the tokens of the streams that are taken up and wait for \a softwareVersion.
    std::uint64_t tokensTakenUp(const std::string &softwareVersion) const;

private:
    void addToTotals(const Work &work);
    void removeFromTotals(const Work &work);

    std::map<Base::CustomerId, std::vector<Work>> m_byCustomer;
    std::size_t m_size = 0;
    std::uint64_t m_tokens = 0;
    /// The tokens of the streams that are taken up, by software version.
    std::map<std::string, std::uint64_t> m_tokensTakenUp;
};

} // namespace Routing
