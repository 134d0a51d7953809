#pragma once

#include "base/time.h"
#include "tracing/traceparent.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace Tracing {

using TagValue = std::variant<bool, std::int64_t, double, std::string>;

/// One finished span.
struct SpanRecord
{
    /// Trace and id of the span.
    TraceParent context;
    /// Id of the parent span; 0 if there is none.
    std::uint64_t parentId = 0;
    std::string name;
    Base::WallTime start;
    std::chrono::microseconds duration{0};
    std::map<std::string, TagValue> tags;
};

/// Returns one line of JSON without a line feed. Bytes that are not UTF-8 are replaced.
std::string toJsonLine(const SpanRecord &span);

} // namespace Tracing
