#pragma once

#include "routing/answersamples.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Routing {

/// Why a version was found to be bad, with the values that the log tells.
struct VersionFault
{
    std::string route;
    /// "failures", "starts" or "events".
    const char *measure = "";
    /// The answers of the new version on this route, and those of them that were bad.
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
    /// The recent share of bad answers of the old versions on this route.
    double usualShare = 0;
};

/// Compares the answers of a new version with those of the old versions, in the same seconds.
///
/// A bad version fails a part of its requests or answers several times slower: from its start or
/// later, under load only, or on one route only. For each route and each kind of badness, a
/// cumulative sum of log-likelihood ratios weighs "as often bad as the old versions" against
/// "clearly more often". It never falls below zero, so good answers of the first seconds do not
/// cover for what begins later. What makes the old versions fail or slow down at the same time,
/// such as overload or a link that loses packets, is part of the rate that is compared with.
class VersionComparison
{
public:
    /// Takes in the answers since the last call, by route, with the routes' counts in
    /// \a total. \a elapsed is the time since the last call.
    void update(const RolloutEvidence &total, Base::Duration elapsed);
    /// Returns the first fault that was found; empty while there is none.
    const std::optional<VersionFault> &fault() const { return m_fault; }
    /// Returns the number of the new version's answers on the route with the fewest of them, among
    /// the routes that have requests at all.
    std::uint64_t fewestAnswers() const;

private:
    /// The share of bad answers of the old versions, recently.
    struct Usual
    {
        double answers = 0;
        double bad = 0;
    };
    struct Test
    {
        Usual usual;
        double sum = 0;
        std::uint64_t answers = 0;
        std::uint64_t bad = 0;
    };
    struct RouteState
    {
        RolloutEvidence::ByVersion seen;
        LogHistogram recentStarts;
        LogHistogram recentEvents;
        Test failures;
        Test starts;
        Test events;
    };

    void test(Test &test, const std::string &route, const char *measure, std::uint32_t usualAnswers,
              std::uint32_t usualBad, std::uint32_t answers, std::uint32_t bad, double kept);

    std::map<std::string, RouteState> m_routes;
    std::optional<VersionFault> m_fault;
};

} // namespace Routing
