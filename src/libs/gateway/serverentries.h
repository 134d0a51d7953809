#pragma once

#include "base/time.h"
#include "gateway/storeprotocol.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/// The version of the store up to which all changes are known. It follows the versions of answers
/// at some distance, since an answer may lack the most recent changes.
class SettledVersion
{
public:
    SettledVersion() = default;
    /// All changes up to \a version are known.
    explicit SettledVersion(std::uint64_t version)
        : m_value(version)
    {}

    std::uint64_t value() const { return m_value; }
    void raise(std::uint64_t version) { m_value = std::max(m_value, version); }
    /// Records an answer of the store at \a version to a call that was sent at \a askedAt.
    void record(std::uint64_t version, Base::TimePoint askedAt);

private:
    std::uint64_t m_value = 0;
    /// Version of a recent answer, and the time of its call.
    std::uint64_t m_recent = 0;
    Base::TimePoint m_recentAt = Base::TimePoint::min();
};

/// A list of all servers, with the version of the store from which its changes are to be read.
struct ListedServers
{
    std::vector<Routing::RegisteredServer> servers;
    std::uint64_t version = 0;
};

/// The entries of backend servers in the store, as far as this host has read them.
///
/// They are read page by page once, or taken over from another host. From then on only their
/// changes are read. If the store's history does not reach back far enough, all pages are read
/// again.
class ServerEntries
{
public:
    /// Returns whether nothing has been read yet.
    bool isEmpty() const { return !m_isComplete && m_nextPage.empty(); }
    /// Returns the version after which changes are to be read; empty if a page is to be read.
    std::optional<std::uint64_t> changesFrom() const;
    /// Returns where the next page begins; empty for the first one.
    const std::string &nextPage() const { return m_nextPage; }
    /// Takes over the servers that another host has read.
    void takeOver(const ListedServers &listed);
    /// Takes a page or changes, whichever was to be read. \a askedAt is when the call was sent.
    /// Returns whether the entries are complete; otherwise there is more to read at once.
    bool take(const ServerReading &reading, Base::TimePoint askedAt);
    /// Forgets the pages that were read so far, unless all were.
    void dropPages();
    /// Forgets everything, so that all pages are read next.
    void clear();

    std::vector<Routing::RegisteredServer> servers() const;
    /// Returns the keys of the entries that cannot be parsed.
    const std::set<std::string> &unreadable() const { return m_unreadable; }

private:
    void takePage(const ServerReading &reading, Base::TimePoint askedAt);
    void takeChanges(const ServerReading &reading, Base::TimePoint askedAt);
    void put(const ServerReading &reading);

    /// The readable entries by their keys.
    std::map<std::string, Routing::RegisteredServer> m_servers;
    std::set<std::string> m_unreadable;
    bool m_isComplete = false;
    std::string m_nextPage;
    SettledVersion m_knownUpTo;
};

} // namespace Gateway
