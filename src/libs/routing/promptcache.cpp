#include "routing/promptcache.h"

#include "base/hash.h"

namespace Routing {

std::vector<ChainLink> chainOf(const std::vector<PromptPart> &parts)
{
    std::vector<ChainLink> chain;
    std::uint64_t hash = 0;
    std::uint32_t sum = 0;
    for (const PromptPart &part : parts) {
        const std::uint64_t both[] = {hash, part.hash};
        hash =
            Base::stableHash(std::string_view(reinterpret_cast<const char *>(both), sizeof(both)));
        sum += part.tokens;
        chain.push_back({hash, sum, part.tokens});
    }
    return chain;
}

std::uint32_t PromptCache::keptTokens(const std::vector<ChainLink> &chain) const
{
    std::uint32_t kept = 0;
    for (const ChainLink &link : chain) {
        if (m_byHash.count(link.hash) == 0)
            return kept;
        kept = link.tokensSoFar;
    }
    return kept;
}

void PromptCache::use(const std::vector<ChainLink> &chain)
{
    for (const ChainLink &link : chain) {
        const auto it = m_byHash.find(link.hash);
        if (it != m_byHash.end()) {
            m_order.splice(m_order.begin(), m_order, it->second);
            continue;
        }
        m_order.push_front({link.hash, link.tokens});
        m_byHash.emplace(link.hash, m_order.begin());
        m_size += link.tokens;
    }
    evict();
}

void PromptCache::setCapacity(std::uint64_t tokens)
{
    m_capacity = tokens;
    evict();
}

void PromptCache::evict()
{
    while (m_size > m_capacity && !m_order.empty()) {
        m_size -= m_order.back().tokens;
        m_byHash.erase(m_order.back().hash);
        m_order.pop_back();
    }
}

void PromptCache::clear()
{
    m_order.clear();
    m_byHash.clear();
    m_size = 0;
}

} // namespace Routing
