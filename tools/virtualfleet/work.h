#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace VirtualFleet {

/// The true cost of a caller's request. It travels in the request's body, which only the model
/// servers read; the routers know just the caller's estimate.
struct Work
{
    Base::CustomerId customer;
    std::uint32_t promptTokens = 0;
    std::uint32_t generatedTokens = 0;
    /// Identifies the request in its answers, so that a test can detect an answer that reached the
    /// wrong caller.
    std::uint64_t serial = 0;

    /// Returns the cost in weighted tokens, in which a generated token counts more than a prompt
    /// token.
    Base::ServiceUnits units() const;
};

/// Writes \a work as the text of a request's body.
std::string encodeWork(const Work &work);
/// Reads the text that encodeWork() writes.
Work decodeWork(const std::string &body);

} // namespace VirtualFleet
