#include "daemon/hoptrace.h"

namespace Daemon {

namespace {

const char *nameOf(Node::Hop hop)
{
    switch (hop) {
    case Node::Hop::Entry:
        return "entry";
    case Node::Hop::Claim:
        return "claim";
    case Node::Hop::Queue:
        return "queue";
    case Node::Hop::Backend:
        return "backend";
    }
    return "hop";
}

opentracing::StartTimestamp startAt(Base::TimePoint begin)
{
    const Base::Duration age = Base::Clock::now() - begin;
    const auto calendar = std::chrono::system_clock::now()
                          - std::chrono::duration_cast<std::chrono::system_clock::duration>(age);
    return {calendar, begin};
}

void describe(opentracing::Span &span, const Node::HopRecord &record)
{
    span.SetTag("request", Base::toString(record.request));
    span.SetTag("place", record.place);
    span.SetTag("failed", record.isFailed);
}

} // namespace

HopTrace::HopTrace(const Tracing::RecordingTracer &tracer)
    : m_tracer(&tracer)
{}

void HopTrace::hopFinished(const Node::HopRecord &record)
{
    opentracing::Span &entry = entrySpan(record);
    if (record.hop == Node::Hop::Entry) {
        describe(entry, record);
        entry.Finish({opentracing::FinishTimestamp(record.end)});
        m_entries.erase(record.request);
        return;
    }
    const std::unique_ptr<opentracing::Span> span = m_tracer->StartSpan(
        nameOf(record.hop), {opentracing::ChildOf(&entry.context()), startAt(record.begin)});
    describe(*span, record);
    span->Finish({opentracing::FinishTimestamp(record.end)});
}

void HopTrace::requestFinished(const Node::RequestRecord &) {}

void HopTrace::retried(const Base::RequestKey &) {}

opentracing::Span &HopTrace::entrySpan(const Node::HopRecord &record)
{
    std::unique_ptr<opentracing::Span> &span = m_entries[record.request];
    if (!span) {
        const auto caller = Tracing::RecordingTracer::contextOf(record.traceparent);
        span = m_tracer->StartSpan(nameOf(Node::Hop::Entry),
                                   {opentracing::ChildOf(caller.get()), startAt(record.begin)});
    }
    return *span;
}

} // namespace Daemon
