#pragma once

#include "tracing/spanrecorder.h"

#include <opentracing/span.h>
#include <opentracing/tracer.h>

#include <mutex>
#include <string>

namespace Tracing::Internal {

/// The OpenTracing context of a span or of a caller's traceparent header.
class RecordingContext final : public opentracing::SpanContext
{
public:
    explicit RecordingContext(const TraceParent &parent)
        : m_parent(parent)
    {}

    const TraceParent &traceParent() const { return m_parent; }

    void
    ForeachBaggageItem(std::function<bool(const std::string &, const std::string &)>) const override
    {}
    std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override;
    std::string ToTraceID() const noexcept override { return traceIdText(m_parent); }
    std::string ToSpanID() const noexcept override { return spanIdText(m_parent.spanId); }

private:
    TraceParent m_parent;
};

/// A span that is recorded when it is finished, at the latest by its destructor.
class RecordingSpan final : public opentracing::Span
{
public:
    RecordingSpan(const opentracing::Tracer &tracer, SpanRecorder &recorder, SpanRecord span,
                  opentracing::SteadyTime start);
    ~RecordingSpan() override;
    RecordingSpan(const RecordingSpan &) = delete;
    RecordingSpan &operator=(const RecordingSpan &) = delete;

    void FinishWithOptions(const opentracing::FinishSpanOptions &options) noexcept override;
    void SetOperationName(opentracing::string_view name) noexcept override;
    void SetTag(opentracing::string_view key, const opentracing::Value &value) noexcept override;
    void SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept override {}
    std::string BaggageItem(opentracing::string_view) const noexcept override { return {}; }
    void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
                 fields) noexcept override;
    void Log(opentracing::SystemTime,
             std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
                 fields) noexcept override;
    void Log(opentracing::SystemTime,
             const std::vector<std::pair<opentracing::string_view, opentracing::Value>>
                 &fields) noexcept override;
    const opentracing::SpanContext &context() const noexcept override { return m_context; }
    const opentracing::Tracer &tracer() const noexcept override { return *m_tracer; }

private:
    const opentracing::Tracer *m_tracer;
    SpanRecorder *m_recorder;
    RecordingContext m_context;
    std::mutex m_mutex;
    SpanRecord m_span;
    opentracing::SteadyTime m_start;
    bool m_isFinished = false;
};

/// Converts \a value. A list becomes the text "list" and a dictionary the text "dictionary".
TagValue toTagValue(const opentracing::Value &value);

} // namespace Tracing::Internal
