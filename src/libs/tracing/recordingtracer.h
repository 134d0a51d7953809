#pragma once

#include "base/random.h"
#include "tracing/spanrecorder.h"
#include "tracing/traceparent.h"

#include <opentracing/tracer.h>

#include <cstdint>
#include <memory>
#include <mutex>

namespace Tracing {

/// An OpenTracing tracer that passes finished spans to a SpanRecorder and exchanges trace contexts
/// with other processes in W3C Trace Context headers. Baggage is not supported. Thread-safe.
class RecordingTracer final : public opentracing::Tracer
{
public:
    /// \a random must not be used by others; both arguments must outlive the tracer and its spans.
    RecordingTracer(SpanRecorder &recorder, Base::RandomSource &random);

    /// Returns the context in the value of a header "traceparent", or null if the value is
    /// malformed or empty.
    static std::unique_ptr<opentracing::SpanContext>
    contextFromHeader(const std::string &traceparent);

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
    /// Returns a random id other than 0.
    std::uint64_t nextId() const;

    SpanRecorder *m_recorder;
    Base::RandomSource *m_random;
    /// Guards m_random.
    mutable std::mutex m_mutex;
};

} // namespace Tracing
