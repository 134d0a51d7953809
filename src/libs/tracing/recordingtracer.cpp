#include "tracing/recordingtracer.h"

#include "tracing/recordingspan.h"

#include <istream>
#include <ostream>
#include <string>
#include <utility>

namespace Tracing {

namespace {

using Internal::RecordingContext;
using Internal::RecordingSpan;
using opentracing::expected;
using opentracing::string_view;

constexpr char headerName[] = "traceparent";
/// Bytes of a binary carrier that are read.
constexpr std::size_t maxHeaderSize = 512;

bool isHeaderName(string_view key)
{
    if (key.size() != sizeof headerName - 1)
        return false;
    for (std::size_t i = 0; i < key.size(); ++i) {
        // Header names are case-insensitive.
        const char c = key[i] >= 'A' && key[i] <= 'Z' ? static_cast<char>(key[i] + 32) : key[i];
        if (c != headerName[i])
            return false;
    }
    return true;
}

const TraceParent *parentOf(const opentracing::StartSpanOptions &options)
{
    for (const auto &[type, context] : options.references) {
        const auto *recordingContext = dynamic_cast<const RecordingContext *>(context);
        if (recordingContext)
            return &recordingContext->traceParent();
    }
    return nullptr;
}

expected<void> injectText(const opentracing::SpanContext &context,
                          const opentracing::TextMapWriter &writer)
{
    const auto *recordingContext = dynamic_cast<const RecordingContext *>(&context);
    if (!recordingContext)
        return opentracing::make_unexpected(opentracing::invalid_span_context_error);
    return writer.Set(headerName, toString(recordingContext->traceParent()));
}

/// Returns null for a malformed header, which is not an error: the standard requires that a new
/// trace is started.
expected<std::unique_ptr<opentracing::SpanContext>>
extractText(const opentracing::TextMapReader &reader)
{
    std::unique_ptr<opentracing::SpanContext> found;
    const expected<void> read =
        reader.ForeachKey([&](string_view key, string_view value) -> expected<void> {
            if (isHeaderName(key))
                found = RecordingTracer::contextFromHeader(std::string(value));
            return {};
        });
    if (!read)
        return opentracing::make_unexpected(read.error());
    return found;
}

} // namespace

RecordingTracer::RecordingTracer(SpanRecorder &recorder, Base::RandomSource &random)
    : m_recorder(&recorder)
    , m_random(&random)
{}

std::unique_ptr<opentracing::SpanContext>
RecordingTracer::contextFromHeader(const std::string &traceparent)
{
    const Base::Result<TraceParent> parent = TraceParent::parse(traceparent);
    if (!parent)
        return nullptr;
    return std::make_unique<RecordingContext>(*parent);
}

std::unique_ptr<opentracing::Span>
RecordingTracer::StartSpanWithOptions(string_view name,
                                      const opentracing::StartSpanOptions &options) const noexcept
{
    SpanRecord span;
    span.name = std::string(name);
    if (const TraceParent *parent = parentOf(options)) {
        span.context = *parent;
        span.parentId = parent->spanId;
    } else {
        span.context.traceIdHigh = nextId();
        span.context.traceIdLow = nextId();
    }
    span.context.spanId = nextId();
    for (const auto &[key, value] : options.tags)
        span.tags[key] = Internal::toTagValue(value);

    opentracing::SystemTime wall = options.start_system_timestamp;
    opentracing::SteadyTime steady = options.start_steady_timestamp;
    const bool hasWall = wall != opentracing::SystemTime();
    const bool hasSteady = steady != opentracing::SteadyTime();
    if (!hasWall)
        wall = hasSteady ? opentracing::convert_time_point<opentracing::SystemClock>(steady)
                         : opentracing::SystemClock::now();
    if (!hasSteady)
        steady = hasWall ? opentracing::convert_time_point<opentracing::SteadyClock>(wall)
                         : opentracing::SteadyClock::now();
    span.start = wall;
    return std::make_unique<RecordingSpan>(*this, *m_recorder, std::move(span), steady);
}

expected<void> RecordingTracer::Inject(const opentracing::SpanContext &context,
                                       std::ostream &writer) const
{
    const auto *recordingContext = dynamic_cast<const RecordingContext *>(&context);
    if (!recordingContext)
        return opentracing::make_unexpected(opentracing::invalid_span_context_error);
    writer << toString(recordingContext->traceParent());
    return {};
}

expected<void> RecordingTracer::Inject(const opentracing::SpanContext &context,
                                       const opentracing::TextMapWriter &writer) const
{
    return injectText(context, writer);
}

expected<void> RecordingTracer::Inject(const opentracing::SpanContext &context,
                                       const opentracing::HTTPHeadersWriter &writer) const
{
    return injectText(context, writer);
}

expected<std::unique_ptr<opentracing::SpanContext>>
RecordingTracer::Extract(std::istream &reader) const
{
    std::string text(maxHeaderSize, '\0');
    reader.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(reader.gcount()));
    return contextFromHeader(text);
}

expected<std::unique_ptr<opentracing::SpanContext>>
RecordingTracer::Extract(const opentracing::TextMapReader &reader) const
{
    return extractText(reader);
}

expected<std::unique_ptr<opentracing::SpanContext>>
RecordingTracer::Extract(const opentracing::HTTPHeadersReader &reader) const
{
    return extractText(reader);
}

std::uint64_t RecordingTracer::nextId() const
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t id = m_random->next();
    // 0 is not a valid id in a traceparent header.
    return id == 0 ? 1 : id;
}

} // namespace Tracing
