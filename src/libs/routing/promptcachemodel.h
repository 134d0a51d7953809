#pragma once

#include "base/time.h"
#include "routing/work.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Routing {

/// The hash of a prefix of a prompt. It covers a part and all parts before it, because a cached
/// part is only of use to a server behind the same beginning.
struct PrefixHash
{
    std::uint64_t hash = 0;
    /// The number of tokens from the start of the prompt to the end of this prefix.
    std::uint32_t tokensSoFar = 0;
};
/// Returns the hashes of all prefixes of a prompt, from the shortest to the longest.
std::vector<PrefixHash> prefixHashes(const std::vector<PromptPart> &parts);
/// Returns the prefixes that other requests may share. These are all but the longest, whose last
/// part belongs to the request alone.
std::vector<PrefixHash> sharedPrefixHashes(const std::vector<PromptPart> &parts);

/// Models which shared prompt parts one model server has cached, from what all hosts sent to it.
///
/// The server evicts the least recently used parts when its memory is full. How soon that happens
/// depends on requests that this host does not see, so a part counts as cached for a fixed time
/// after its last use. The prompts of single requests fill the memory of a busy server in ten
/// seconds or more.
class PromptCacheModel
{
public:
    /// The time for which a part counts as cached after its last use.
    static constexpr Base::Duration lifetime = std::chrono::seconds(12);

    /// Returns the number of tokens of the longest prefix that the server need not read again.
    std::uint32_t cachedTokens(const std::vector<PrefixHash> &prefixes, Base::TimePoint now) const;
    /// Returns the number of those tokens that the server has read by now, so that others can fetch
    /// them.
    std::uint32_t fetchableTokens(const std::vector<PrefixHash> &prefixes,
                                  Base::TimePoint now) const;
    /// Records that a prompt with the prefix was sent to the server, which will have read it by
    /// \a readBy.
    void recordUse(std::uint64_t hash, Base::TimePoint now, Base::TimePoint readBy);
    /// Returns whether a use should be reported to the other hosts, because they do not know of the
    /// prefix or will soon consider it evicted. The use then counts as reported, so the next call
    /// returns false.
    bool shouldReport(std::uint64_t hash, Base::TimePoint now);
    void evictExpired(Base::TimePoint now);
    void clear();

private:
    struct Entry
    {
        Base::TimePoint usedAt;
        Base::TimePoint readBy;
        Base::TimePoint reportedAt = Base::TimePoint::min();
    };

    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace Routing
