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

/// Spans that wait for the writer; at four spans a request that is 2,000 requests.
inline constexpr std::size_t spanRingCapacity = 8192;

/// Writes spans on a thread of its own.
///
/// Guards against a trace file that is slow or stuck, such as a pipe whose reader has stopped:
/// without the ring every request would wait for it. A full ring drops the span and counts it,
/// so tracing can lose a span and never holds up an answer.
class SpanRecorder
{
public:
    explicit SpanRecorder(std::unique_ptr<LineSink> sink, std::size_t capacity = spanRingCapacity);
    /// Writes what is waiting.
    ~SpanRecorder();
    SpanRecorder(const SpanRecorder &) = delete;
    SpanRecorder &operator=(const SpanRecorder &) = delete;

    /// Any thread; never waits for the sink.
    void record(SpanRecord span);
    std::uint64_t dropped() const { return m_dropped; }
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
