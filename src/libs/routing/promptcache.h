#pragma once

#include "base/time.h"
#include "routing/work.h"

#include <cstdint>
#include <list>
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
    std::uint32_t tokens = 0;
};
std::vector<ChainLink> chainOf(const std::vector<PromptPart> &parts);

/// What one model server is believed to keep of prompts, from what was sent to it.
///
/// The server drops what was used least recently when its memory runs out, and so does this, at
/// a smaller size: the rest of the memory is taken by requests that run and by other hosts' work.
class PromptCache
{
public:
    explicit PromptCache(std::uint64_t capacityTokens = 0)
        : m_capacity(capacityTokens)
    {}

    /// Tokens of \a chain that need not be read again.
    std::uint32_t keptTokens(const std::vector<ChainLink> &chain) const;
    /// The server reads the parts of \a chain.
    void use(const std::vector<ChainLink> &chain);
    void clear();
    void setCapacity(std::uint64_t tokens);

private:
    void evict();

    struct Entry
    {
        std::uint64_t hash = 0;
        std::uint32_t tokens = 0;
    };

    std::uint64_t m_capacity;
    std::uint64_t m_size = 0;
    /// Most recently used first.
    std::list<Entry> m_order;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_byHash;
};

} // namespace Routing
