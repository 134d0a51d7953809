#include "node/waitingset.h"

#include "base/hash.h"

#include <string>

namespace Node {

namespace {

std::uint64_t hashOf(const AttemptId &attempt)
{
    return Base::stableHash(Base::toString(attempt.request), attempt.number);
}

} // namespace

bool WaitingSet::add(const AttemptId &attempt)
{
    if (!m_attempts.insert(attempt).second)
        return false;
    m_hash ^= hashOf(attempt);
    return true;
}

bool WaitingSet::remove(const AttemptId &attempt)
{
    if (m_attempts.erase(attempt) == 0)
        return false;
    m_hash ^= hashOf(attempt);
    return true;
}

} // namespace Node
