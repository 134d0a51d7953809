#pragma once

#include "common/httpserver.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace StandIn {

/// Records every request that began to run, in order. Tests use it to check that a request did not
/// run, or ran at most once. Thread-safe.
class Journal
{
public:
    /// Adds an entry with the state "begun" and returns its number.
    std::size_t begin(const HttpRequest &request);
    /// Sets the state of \a entry to \a state: "finished" or "cancelled".
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

/// Records the largest fencing token seen for each idempotency key, for a server that refuses older
/// ones. Thread-safe.
class FencingTokens
{
public:
    /// Returns false if \a fence is smaller than a token already seen for \a key.
    bool accept(const std::string &key, std::uint64_t fence);

private:
    std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_largest;
};

} // namespace StandIn
