#include "scheduling/serverselector.h"

namespace Scheduling {

std::optional<std::size_t> ServerSelector::choose(const std::vector<ServerChoice> &choices,
                                                  std::uint64_t, Base::TimePoint) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < choices.size(); ++i) {
        const ServerChoice &choice = choices[i];
        if (!best || choice.inUse * choices[*best].limit < choices[*best].inUse * choice.limit)
            best = i;
    }
    return best;
}

void ServerSelector::recordPrefix(std::uint64_t, const Base::ServerId &, Base::TimePoint) {}

void ServerSelector::forgetServer(const Base::ServerId &) {}

} // namespace Scheduling
