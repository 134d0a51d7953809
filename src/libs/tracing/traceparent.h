#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Tracing {

/// Error: the text is not a valid traceparent header.
struct MalformedTraceParent
{};

/// Trace id, span id and flags, as in the header "traceparent" of W3C Trace Context.
struct TraceParent
{
    std::uint64_t traceIdHigh = 0;
    std::uint64_t traceIdLow = 0;
    std::uint64_t spanId = 0;
    /// Trace flags; 1 means "sampled".
    std::uint8_t flags = 1;

    bool operator==(const TraceParent &) const = default;

    /// Parses a header of version 00 or of a later version, whose additional fields are ignored.
    /// Fails with MalformedTraceParent; \a text may contain any bytes.
    static Base::Result<TraceParent> parse(std::string_view text);
};

/// Returns the value of the header, in version 00.
std::string toString(const TraceParent &parent);
/// Returns the trace id as 32 hexadecimal digits.
std::string traceIdText(const TraceParent &parent);
/// Returns the span id as 16 hexadecimal digits.
std::string spanIdText(std::uint64_t spanId);

} // namespace Tracing
