#pragma once

#include "node/backendclient.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace Node {

/// The attempts that wait at one home for one entry host, with a hash over them that does not
/// depend on their order. Both sides keep one and compare count and hash.
class WaitingSet
{
public:
    /// Returns whether the attempt is new.
    bool add(const AttemptId &attempt);
    /// Returns whether the attempt was there.
    bool remove(const AttemptId &attempt);
    bool contains(const AttemptId &attempt) const { return m_attempts.count(attempt) > 0; }

    std::size_t count() const { return m_attempts.size(); }
    std::uint64_t hash() const { return m_hash; }
    const std::set<AttemptId> &attempts() const { return m_attempts; }

private:
    std::set<AttemptId> m_attempts;
    std::uint64_t m_hash = 0;
};

} // namespace Node
