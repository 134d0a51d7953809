#pragma once

#include "node/nodeobserver.h"

#include <opentracing/tracer.h>

#include <map>
#include <vector>

namespace App {

/// Records the hops of a request as spans of one trace. A hop is one step of a request: entry,
/// claim, queue or backend. Used on the core thread only.
///
/// The inner hops of a request end before its entry hop, whose span is their parent. They are
/// therefore stored until the request ends, in one list per open request.
class NodeTraces final : public Node::NodeObserver
{
public:
    /// \a tracer must outlive this object.
    explicit NodeTraces(const opentracing::Tracer &tracer)
        : m_tracer(&tracer)
    {}

    void hopFinished(const Node::HopRecord &record) override;
    void requestFinished(const Node::RequestRecord &record) override;
    void retried(const Base::RequestKey &) override {}

private:
    void recordHop(const Node::HopRecord &record, const opentracing::SpanContext *parent) const;

    const opentracing::Tracer *m_tracer;
    std::map<Base::RequestKey, std::vector<Node::HopRecord>> m_hops;
};

} // namespace App
