#pragma once

#include "node/peermessage.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <string>

namespace Slopes {

/// Runs \a operation \a repetitions times, five times over, and returns the median of the five
/// mean times, in microseconds: a run that another process disturbed does not count.
template <typename Operation>
double medianMicroseconds(std::size_t repetitions, Operation operation)
{
    using Clock = std::chrono::steady_clock;
    std::array<double, 5> runs{};
    for (double &run : runs) {
        const Clock::time_point since = Clock::now();
        for (std::size_t i = 0; i < repetitions; ++i)
            operation();
        const std::chrono::duration<double, std::micro> passed = Clock::now() - since;
        run = passed.count() / static_cast<double>(repetitions);
    }
    std::sort(runs.begin(), runs.end());
    return runs[runs.size() / 2];
}

/// Bytes that the allocator has handed out.
std::size_t allocatedBytes();
/// Bytes that \a message adds to a batch between two routers; no gRPC framing.
std::size_t wireSize(const Node::PeerMessage &message);
/// A batch that holds \a message alone, serialized.
std::string encode(const Node::PeerMessage &message);
/// Reads a batch; its messages are dropped. Returns their number.
std::size_t decode(const std::string &bytes);
std::string sizeLabel(const std::string &name, std::size_t value);

} // namespace Slopes
