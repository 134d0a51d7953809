#pragma once

#include "node/peermessage.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <string>

namespace Slopes {

/// Makes five runs of \a repetitions calls of \a operation and returns the median of the mean times
/// of the runs, in microseconds. The median leaves out a run that another process disturbed.
template <typename Operation>
double medianMicroseconds(std::size_t repetitions, Operation operation)
{
    using Clock = std::chrono::steady_clock;
    std::array<double, 5> runs{};
    for (double &run : runs) {
        const Clock::time_point start = Clock::now();
        for (std::size_t i = 0; i < repetitions; ++i)
            operation();
        const std::chrono::duration<double, std::micro> elapsed = Clock::now() - start;
        run = elapsed.count() / static_cast<double>(repetitions);
    }
    std::sort(runs.begin(), runs.end());
    return runs[runs.size() / 2];
}

/// Returns the bytes of the heap that are in use.
std::size_t allocatedBytes();
/// Returns the bytes that \a message adds to a batch between two routers, without the framing of
/// gRPC.
std::size_t wireSize(const Node::PeerMessage &message);
/// Returns a serialized batch that holds only \a message.
std::string encode(const Node::PeerMessage &message);
/// Decodes a batch and returns the number of its messages.
std::size_t decode(const std::string &bytes);
/// Returns "name=value", the form in which Figure::shape gives a size.
std::string sizeLabel(const std::string &name, std::size_t value);

} // namespace Slopes
