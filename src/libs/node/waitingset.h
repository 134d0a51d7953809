#pragma once

#include "node/backendclient.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace Node {

/// The attempts of one entry host that wait at one home, with a hash that does not depend on their
/// order. Both hosts keep such a set and compare its count and hash.
class WaitingSet
{
public:
    /// Returns whether the attempt is new.
    bool add(const AttemptId &attempt);
    /// Returns whether the set contained the attempt.
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
