#include "nodetraces.h"

#include "daemon/failuretext.h"
#include "tracing/recordingtracer.h"

#include <memory>
#include <utility>

namespace App {

namespace {

const char *spanName(Node::Hop hop)
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
    return "";
}

std::unique_ptr<opentracing::Span> startSpan(const opentracing::Tracer &tracer,
                                             const Node::HopRecord &record,
                                             const opentracing::SpanContext *parent)
{
    opentracing::StartSpanOptions options;
    options.start_steady_timestamp = record.begin;
    if (parent)
        options.references.emplace_back(opentracing::SpanReferenceType::ChildOfRef, parent);
    options.tags.emplace_back("request", Base::toString(record.request));
    options.tags.emplace_back("place", record.place);
    if (record.isFailed)
        options.tags.emplace_back("failed", true);
    return tracer.StartSpanWithOptions(spanName(record.hop), options);
}

} // namespace

void NodeTraces::hopFinished(const Node::HopRecord &record)
{
    m_hops[record.request].push_back(record);
}

void NodeTraces::requestFinished(const Node::RequestRecord &record)
{
    const auto it = m_hops.find(record.request);
    if (it == m_hops.end())
        return;
    const std::vector<Node::HopRecord> hops = std::move(it->second);
    m_hops.erase(it);
    std::unique_ptr<opentracing::Span> entry;
    for (const Node::HopRecord &hop : hops) {
        if (hop.hop != Node::Hop::Entry)
            continue;
        const auto caller = Tracing::RecordingTracer::contextFromHeader(hop.traceparent);
        entry = startSpan(*m_tracer, hop, caller.get());
        entry->SetTag("customer", record.customer.value());
        entry->SetTag("class", record.workClass.value());
        entry->SetTag("outcome", record.isFailed ? Daemon::typeName(record.failure) : "answered");
        entry->FinishWithOptions({hop.end, {}});
    }
    for (const Node::HopRecord &hop : hops) {
        if (hop.hop != Node::Hop::Entry)
            recordHop(hop, entry ? &entry->context() : nullptr);
    }
}

void NodeTraces::recordHop(const Node::HopRecord &record,
                           const opentracing::SpanContext *parent) const
{
    startSpan(*m_tracer, record, parent)->FinishWithOptions({record.end, {}});
}

} // namespace App
