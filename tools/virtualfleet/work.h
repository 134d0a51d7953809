#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace VirtualFleet {

/// What a caller's request will really cost; the routers never see it.
struct Work
{
    Base::CustomerId customer;
    std::uint32_t promptTokens = 0;
    std::uint32_t generatedTokens = 0;
    /// Names the request in answers, so that a crossed answer is seen.
    std::uint64_t serial = 0;

    Base::ServiceUnits units() const;
};

std::string encodeWork(const Work &work);
Work decodeWork(const std::string &body);

} // namespace VirtualFleet
