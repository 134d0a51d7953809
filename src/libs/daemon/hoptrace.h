#pragma once

#include "node/nodeobserver.h"
#include "tracing/recordingtracer.h"

#include <map>
#include <memory>

namespace Daemon {

/// Records a span for each hop of a request: the whole stay at its entry host as a child of the
/// caller's span, and claim, queue and backend server as children of that.
class HopTrace final : public Node::NodeObserver
{
public:
    /// \a tracer outlives this object.
    explicit HopTrace(const Tracing::RecordingTracer &tracer);

    void hopFinished(const Node::HopRecord &record) override;
    void requestFinished(const Node::RequestRecord &record) override;
    void retried(const Base::RequestKey &request) override;

private:
    opentracing::Span &entrySpan(const Node::HopRecord &record);

    const Tracing::RecordingTracer *m_tracer;
    /// One for each request without a final answer. A request's first hop begins when it
    /// arrives, so that the span can be opened then.
    std::map<Base::RequestKey, std::unique_ptr<opentracing::Span>> m_entries;
};

} // namespace Daemon
