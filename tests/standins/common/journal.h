#pragma once

#include "common/httpserver.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace StandIn {

/// Every request that began to run, in order; what the proofs of "not run" and "at most once"
/// look at.
class Journal
{
public:
    /// Returns the number of the new entry.
    std::size_t begin(const HttpRequest &request);
    /// \a state is "finished" or "cancelled".
    void end(std::size_t entry, const std::string &state);
    /// Answers GET /journal: {"requests":[...]}.
    HttpResponse handle() const;

private:
    struct Entry
    {
        std::string path;
        std::string requestId;
        std::string idempotencyKey;
        std::uint64_t fence = 0;
        std::string traceparent;
        std::string state = "begun";
    };

    mutable std::mutex m_mutex;
    std::vector<Entry> m_entries;
};

/// The largest fencing number seen for each idempotency key, for a server that checks them.
class FenceBook
{
public:
    /// False if \a fence is smaller than one already seen for \a key.
    bool accept(const std::string &key, std::uint64_t fence);

private:
    std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_largest;
};

} // namespace StandIn
