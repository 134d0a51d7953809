#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Gateway {

/// Remembers how long the last requests on each route took that were answered.
class RouteDurations
{
public:
    void record(const std::string &route, Base::Duration duration);
    /// Returns the longest of the remembered durations; empty if there is none.
    std::optional<Base::Duration> longest(const std::string &route) const;
    /// Forgets all routes but \a routes.
    void keepOnly(const std::set<std::string> &routes);

private:
    static constexpr std::size_t remembered = 128;

    struct Ring
    {
        std::array<Base::Duration, remembered> durations{};
        std::size_t next = 0;
        std::size_t size = 0;
    };

    std::unordered_map<std::string, Ring> m_routes;
};

} // namespace Gateway
