#pragma once

#include "base/random.h"
#include "tracing/spanrecorder.h"
#include "tracing/traceparent.h"

#include <opentracing/tracer.h>

#include <cstdint>
#include <memory>
#include <mutex>

namespace Tracing {

/// An OpenTracing tracer whose spans go to a SpanRecorder, and that speaks W3C Trace Context
/// towards other processes. Baggage is not carried. Safe to use from many threads.
class RecordingTracer final : public opentracing::Tracer
{
public:
    /// \a random is only used by this tracer; both arguments outlive it and its spans.
    RecordingTracer(SpanRecorder &recorder, Base::RandomSource &random);

    /// The context that a header "traceparent" names; null if it is malformed or empty.
    static std::unique_ptr<opentracing::SpanContext> contextOf(const std::string &traceparent);

    std::unique_ptr<opentracing::Span>
    StartSpanWithOptions(opentracing::string_view name,
                         const opentracing::StartSpanOptions &options) const noexcept override;

    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       std::ostream &writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       const opentracing::TextMapWriter &writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       const opentracing::HTTPHeadersWriter &writer) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(std::istream &reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(const opentracing::TextMapReader &reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(const opentracing::HTTPHeadersReader &reader) const override;

private:
    std::uint64_t nextId() const;

    SpanRecorder *m_recorder;
    Base::RandomSource *m_random;
    mutable std::mutex m_mutex;
};

} // namespace Tracing
