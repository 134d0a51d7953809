#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Scheduling {

/// A backend server that has at least one free permit.
struct ServerChoice
{
    Base::ServerId server;
    std::size_t inUse = 0;
    std::size_t limit = 1;
    bool isSameZone = false;
};

/// Picks the server that a piece of work goes to. Thin version: least used share.
class ServerSelector
{
public:
    /// Index into \a choices; empty when there is none.
    std::optional<std::size_t> choose(const std::vector<ServerChoice> &choices,
                                      std::uint64_t prefix, Base::TimePoint now) const;
    /// Notes that \a server now holds \a prefix in its cache: a hint, never a promise.
    void recordPrefix(std::uint64_t prefix, const Base::ServerId &server, Base::TimePoint now);
    void forgetServer(const Base::ServerId &server);
};

} // namespace Scheduling
