#include "routing/evacuatedzones.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

using namespace Routing;

namespace {

/// What the operator has done up to a version of the store.
using History = std::map<std::uint64_t, EvacuationChange>;

std::set<Base::ZoneId> zonesAt(const History &history, std::uint64_t version)
{
    std::set<Base::ZoneId> zones;
    for (const auto &[at, change] : history) {
        if (at > version)
            break;
        if (change.isEvacuated)
            zones.insert(change.zone);
        else
            zones.erase(change.zone);
    }
    return zones;
}

std::vector<EvacuationChange> changesBetween(const History &history, std::uint64_t from,
                                             std::uint64_t to)
{
    std::map<Base::ZoneId, EvacuationChange> last;
    for (const auto &[at, change] : history) {
        if (at > from && at <= to)
            last[change.zone] = change;
    }
    std::vector<EvacuationChange> changes;
    for (const auto &[zone, change] : last)
        changes.push_back(change);
    return changes;
}

} // namespace

TEST_CASE("evacuations follow the newest state of the store, whichever way states come",
          "[routing]")
{
    // Guards against a zone that gets requests again, or none any more, because an older state of
    // another host or a late answer to a watch replaces a newer one.
    rc::prop("states of hosts and answers of watches in any order", [] {
        History history;
        constexpr std::uint64_t versions = 20;
        for (std::uint64_t at = 1; at <= versions; ++at) {
            const std::string zone(1, *rc::gen::elementOf(std::string("abc")));
            history[at] = {Base::ZoneId(zone), *rc::gen::arbitrary<bool>()};
        }
        EvacuatedZones known;
        std::uint64_t watchedFrom = 0;
        std::uint64_t newest = 0;
        for (int step = 0; step < 12; ++step) {
            const auto version = *rc::gen::inRange<std::uint64_t>(1, versions + 1);
            const bool isWatch = *rc::gen::arbitrary<bool>() && watchedFrom > 0;
            if (isWatch && version > watchedFrom) {
                known.apply(changesBetween(history, watchedFrom, version), version);
                watchedFrom = version;
            } else {
                known.replace(zonesAt(history, version), version);
                // The host's own reading is the state that it watches from.
                if (version >= newest)
                    watchedFrom = version;
            }
            newest = std::max(newest, version);
            RC_ASSERT(known.version() == newest);
            RC_ASSERT(known.zones() == zonesAt(history, newest));
        }
    });
}
