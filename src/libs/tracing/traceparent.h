#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Tracing {

/// A text that is not a traceparent header.
struct MalformedTraceParent
{};

/// A place in a trace, as W3C Trace Context's header "traceparent" carries it.
struct TraceParent
{
    std::uint64_t traceIdHigh = 0;
    std::uint64_t traceIdLow = 0;
    std::uint64_t spanId = 0;
    std::uint8_t flags = 1;

    bool operator==(const TraceParent &) const = default;

    /// Reads a header of version 00 or of a later one, whose further fields are left out.
    /// Fails with MalformedTraceParent; any bytes are safe.
    static Base::Result<TraceParent> parse(std::string_view text);
};

/// The header's value, version 00.
std::string toString(const TraceParent &parent);
/// 32 hexadecimal digits.
std::string traceIdText(const TraceParent &parent);
/// 16 hexadecimal digits.
std::string spanIdText(std::uint64_t spanId);

} // namespace Tracing
