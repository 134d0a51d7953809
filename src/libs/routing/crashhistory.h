#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Routing {

/// What a request asks for and for whom. It is the same over all tries of one request.
struct RequestContent
{
    Base::CustomerId customer;
    std::uint64_t digest = 0;

    auto operator<=>(const RequestContent &) const = default;
};

/// A server that may have ended while it ran a request.
struct ServerEnd
{
    Base::ServerId server;
    Base::TimePoint sentAt;
    Base::TimePoint endedAt;
    /// The server fell silent. Otherwise the connection broke.
    bool isSilence = false;
    /// The digest of what the request asked for; only used by CrashingParts.
    std::uint64_t content = 0;
};

/// An entry of CrashHistory as hosts report it to each other, with ages instead of times.
struct CrashReport
{
    RequestContent content;
    /// Empty if the request was served.
    Base::ServerId server;
    Base::Milliseconds sentAge{0};
    Base::Milliseconds age{0};
    bool isSilence = false;

    bool operator==(const CrashReport &) const = default;
};

/// What this host knows of the life of backend servers.
class ServerLife
{
public:
    virtual ~ServerLife() = default;
    /// Returns when \a server last sent part of an answer to this host; empty if it never has.
    virtual std::optional<Base::TimePoint> lastResponseFrom(const Base::ServerId &server) const = 0;
    /// Returns whether \a server is not in service any more.
    virtual bool isGone(const Base::ServerId &server) const = 0;
};

/// Remembers which requests were running when servers ended, over all tries of their callers and on
/// all hosts, and tells which requests must not be sent again.
///
/// A request may end every server that runs it. Its caller tries again after each failure, mostly
/// at another host, and each end breaks off everything else that the server runs. A request is not
/// sent any more after \a maxEnds servers have ended under it.
///
/// Requests that only ran beside such a request must not be blamed:
/// - A connection may break although its server lives. The end does not count if the server has
///   answered anything later, or if it fell silent and is still in service.
/// - Servers may end together for a common cause. Ends count only one after the other: each under
///   an attempt that was sent when the end before it had happened.
/// - Ends under which another request ran that has seen more ends count only for that one.
/// - An answer to the same request clears it.
class CrashHistory
{
public:
    /// The number of servers that may end under one request within \a memory.
    static constexpr unsigned maxEnds = 3;
    static constexpr Base::Duration memory = std::chrono::seconds(30);

    /// \a life must outlive the history.
    explicit CrashHistory(const ServerLife &life)
        : m_life(&life)
    {}

    /// Records that an attempt of \a content at a server broke or fell silent. Returns whether
    /// that is news.
    bool recordEnd(const RequestContent &content, const ServerEnd &end, Base::TimePoint now);
    /// Records that a server answered \a content.
    void recordServed(const RequestContent &content, Base::TimePoint now);
    /// Takes in the entries of another host. Returns whether any of them is news.
    bool apply(const std::vector<CrashReport> &reports, Base::TimePoint now);
    /// Returns the latest entries for a report, those of requests with most ends first.
    std::vector<CrashReport> recent(Base::TimePoint now) const;

    /// Returns how many servers have ended under \a content, one after the other.
    unsigned ends(const RequestContent &content, Base::TimePoint now) const;
    /// Returns whether \a content must not be sent to any server now.
    bool isBlocked(const RequestContent &content, Base::TimePoint now) const;
    /// Returns whether nothing is remembered, so that isBlocked() is false for every request.
    bool isEmpty() const { return m_entries.empty(); }
    /// Returns the number of blocked requests.
    std::size_t blocked(Base::TimePoint now) const;
    /// Forgets what is too old.
    void advance(Base::TimePoint now);

private:
    struct Entry
    {
        /// Ordered by the time of the end; one for each server.
        std::vector<ServerEnd> ends;
        Base::TimePoint servedAt = Base::TimePoint::min();
    };

    bool hasEnded(const ServerEnd &end) const;
    /// Returns whether another request has seen more than \a ends ends, one of them of \a server.
    bool isExplained(const Base::ServerId &server, std::size_t ends) const;
    /// Removes the entry that matters least.
    void evictOne();

    const ServerLife *m_life;
    std::map<RequestContent, Entry> m_entries;
};

} // namespace Routing
