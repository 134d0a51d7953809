#pragma once

#include "base/time.h"
#include "routing/work.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Routing {

/// The chain of a prompt's parts: each hash stands for the part and all parts before it, since a
/// part is of use to a server only behind the same beginning.
struct ChainLink
{
    std::uint64_t hash = 0;
    /// Tokens from the start of the prompt to the end of this part.
    std::uint32_t tokensSoFar = 0;
};
std::vector<ChainLink> chainOf(const std::vector<PromptPart> &parts);
/// The links that other requests may share: all but the last, which is the request's own.
std::vector<ChainLink> sharedChainOf(const std::vector<PromptPart> &parts);

/// What one model server is believed to keep of shared prompt parts, from what all hosts sent to
/// it.
///
/// The server drops what was used least recently when its memory runs out. How soon that is
/// depends on work that is not seen from here, so a part counts as kept for a fixed time after its
/// last use: requests of their own fill a busy server's memory in ten seconds and more.
class PromptCache
{
public:
    /// Tokens of \a chain that need not be read again.
    std::uint32_t keptTokens(const std::vector<ChainLink> &chain, Base::TimePoint now) const;
    /// Of these, what it has read by now and can hand out.
    std::uint32_t readTokens(const std::vector<ChainLink> &chain, Base::TimePoint now) const;
    /// A prompt with the part was sent to the server, which will have read it by \a readBy.
    void use(std::uint64_t hash, Base::TimePoint now, Base::TimePoint readBy);
    /// Whether the other hosts should be told of a use: they do not know of the part, or will soon
    /// take it for dropped. Answers yes once.
    bool isNews(std::uint64_t hash, Base::TimePoint now);
    void forgetOld(Base::TimePoint now);
    void clear();

private:
    struct Entry
    {
        Base::TimePoint usedAt;
        Base::TimePoint readBy;
        Base::TimePoint toldAt = Base::TimePoint::min();
    };

    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace Routing
