#include "rolloutmodels/rolloutmodel.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

// Plays drawn roll-outs of versions that are good, or bad in one way, with two ways to decide, and
// prints how each way does. docs/design/rollouts.md cites its output.
// usage: measurerollouts [COUNT], the number of draws of each kind; 1000 by default.

using namespace RolloutModels;
using Routing::RolloutPhase;

int main(int argc, char **argv)
{
    const long count = argc > 1 ? std::strtol(argv[1], nullptr, 10) : 1000;
    if (count <= 0) {
        std::fprintf(stderr, "measurerollouts: COUNT must be a number above 0: %s\n", argv[1]);
        return EXIT_FAILURE;
    }
    const std::vector<std::pair<Badness, std::string>> kinds{{Badness::None, "good"},
                                                             {Badness::Failures, "failures"},
                                                             {Badness::Slow, "slow"},
                                                             {Badness::Later, "later"},
                                                             {Badness::UnderLoad, "under load"},
                                                             {Badness::OneRoute, "one route"}};
    const std::vector<std::pair<MakePolicy, std::string>> ways{{sequentialTest, "sequential"},
                                                               {singleTest, "single"}};
    std::printf("| way | version | rolled back | completed | within the bounds | most exposure, "
                "%% of what is allowed | median end, %% of the time |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
    const Routing::RolloutBounds bounds;
    for (const auto &[way, wayName] : ways) {
        for (const auto &[kind, kindName] : kinds) {
            long back = 0;
            long completed = 0;
            long within = 0;
            double mostExposed = 0;
            std::vector<double> ends;
            for (long i = 0; i < count; ++i) {
                const Scenario scenario = drawn(kind, static_cast<std::uint64_t>(i) + 1);
                const Result result = play(scenario, bounds, way);
                back += result.phase == RolloutPhase::RolledBack ? 1 : 0;
                completed += result.phase == RolloutPhase::Completed ? 1 : 0;
                within += result.isWithin(bounds) ? 1 : 0;
                mostExposed = std::max(mostExposed, result.exposed
                                                        / (bounds.exposureShare * result.requests
                                                           + bounds.exposureSlack));
                ends.push_back(std::chrono::duration<double>(result.at)
                               / std::chrono::duration<double>(scenario.duration));
            }
            std::nth_element(ends.begin(), ends.begin() + count / 2, ends.end());
            std::printf("| %s | %s | %ld | %ld | %ld | %.0f | %.0f |\n", wayName.c_str(),
                        kindName.c_str(), back, completed, within, 100 * mostExposed,
                        100 * ends[static_cast<std::size_t>(count) / 2]);
        }
    }
    return EXIT_SUCCESS;
}
