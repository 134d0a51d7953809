#include "tracing/recordingspan.h"

#include <utility>

namespace Tracing::Internal {

namespace {

struct ToTagValue
{
    TagValue operator()(bool it) const { return it; }
    TagValue operator()(double it) const { return it; }
    TagValue operator()(std::int64_t it) const { return it; }
    TagValue operator()(std::uint64_t it) const { return static_cast<std::int64_t>(it); }
    TagValue operator()(const std::string &it) const { return it; }
    TagValue operator()(opentracing::string_view it) const { return std::string(it); }
    TagValue operator()(std::nullptr_t) const { return std::string("null"); }
    TagValue operator()(const char *it) const { return std::string(it ? it : "null"); }
    TagValue operator()(const opentracing::Values &) const { return std::string("list"); }
    TagValue operator()(const opentracing::Dictionary &) const { return std::string("dictionary"); }
};

} // namespace

TagValue toTagValue(const opentracing::Value &value)
{
    return opentracing::util::apply_visitor(ToTagValue(), value);
}

std::unique_ptr<opentracing::SpanContext> RecordingContext::Clone() const noexcept
{
    return std::make_unique<RecordingContext>(m_parent);
}

RecordingSpan::RecordingSpan(const opentracing::Tracer &tracer, SpanRecorder &recorder,
                             SpanRecord span, opentracing::SteadyTime start)
    : m_tracer(&tracer)
    , m_recorder(&recorder)
    , m_context(span.context)
    , m_span(std::move(span))
    , m_start(start)
{}

RecordingSpan::~RecordingSpan()
{
    Finish();
}

void RecordingSpan::FinishWithOptions(const opentracing::FinishSpanOptions &options) noexcept
{
    const std::lock_guard lock(m_mutex);
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_span.duration = std::chrono::duration_cast<std::chrono::microseconds>(
        options.finish_steady_timestamp - m_start);
    m_recorder->record(m_span);
}

void RecordingSpan::SetOperationName(opentracing::string_view name) noexcept
{
    const std::lock_guard lock(m_mutex);
    m_span.name = std::string(name);
}

void RecordingSpan::SetTag(opentracing::string_view key, const opentracing::Value &value) noexcept
{
    const std::lock_guard lock(m_mutex);
    m_span.tags[std::string(key)] = toTagValue(value);
}

void RecordingSpan::Log(
    std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept
{
    for (const auto &[key, value] : fields)
        SetTag(key, value);
}

void RecordingSpan::Log(
    opentracing::SystemTime,
    std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept
{
    Log(fields);
}

void RecordingSpan::Log(
    opentracing::SystemTime,
    const std::vector<std::pair<opentracing::string_view, opentracing::Value>> &fields) noexcept
{
    for (const auto &[key, value] : fields)
        SetTag(key, value);
}

} // namespace Tracing::Internal
