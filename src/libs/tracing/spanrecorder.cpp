#include "tracing/spanrecorder.h"

#include <utility>

namespace Tracing {

namespace {

/// Longest wait for a span before the thread checks whether the ring is closed.
constexpr Base::Duration popInterval = std::chrono::seconds(1);

} // namespace

SpanRecorder::SpanRecorder(std::unique_ptr<LineSink> sink, std::size_t capacity)
    : m_sink(std::move(sink))
    , m_ring(capacity)
    , m_thread([this] { run(); })
{}

SpanRecorder::~SpanRecorder()
{
    m_ring.close();
    m_thread.join();
}

void SpanRecorder::record(SpanRecord span)
{
    if (m_ring.tryPush(span))
        ++m_recorded;
    else
        ++m_dropped;
}

void SpanRecorder::run()
{
    while (true) {
        const std::optional<SpanRecord> span = m_ring.popFor(popInterval);
        if (span) {
            m_sink->write(toJsonLine(*span));
            continue;
        }
        if (m_ring.isClosed())
            return;
    }
}

} // namespace Tracing
