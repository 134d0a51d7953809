#pragma once

#include "base/boundedring.h"
#include "tracing/linesink.h"
#include "tracing/spanrecord.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <thread>

namespace Tracing {

/// Maximum number of spans that wait for the writer: 2,000 requests with four spans each.
inline constexpr std::size_t spanRingCapacity = 8192;

/// Writes finished spans to a sink on its own thread.
///
/// A trace file may be slow or block, for example a pipe whose reader has stopped. Requests do not
/// wait for it: if the ring of waiting spans is full, the span is dropped and counted.
class SpanRecorder
{
public:
    explicit SpanRecorder(std::unique_ptr<LineSink> sink, std::size_t capacity = spanRingCapacity);
    /// Writes all waiting spans before it returns.
    ~SpanRecorder();
    SpanRecorder(const SpanRecorder &) = delete;
    SpanRecorder &operator=(const SpanRecorder &) = delete;

    /// Queues \a span, or drops it if the ring is full. Thread-safe; does not wait for the sink.
    void record(SpanRecord span);
    /// Returns the number of dropped spans.
    std::uint64_t dropped() const { return m_dropped; }
    /// Returns the number of queued and written spans.
    std::uint64_t recorded() const { return m_recorded; }

private:
    void run();

    std::unique_ptr<LineSink> m_sink;
    Base::BoundedRing<SpanRecord> m_ring;
    std::atomic<std::uint64_t> m_dropped = 0;
    std::atomic<std::uint64_t> m_recorded = 0;
    std::thread m_thread;
};

} // namespace Tracing
