#pragma once

#include "node/nodeobserver.h"

#include <opentracing/tracer.h>

#include <map>
#include <vector>

namespace App {

/// Turns the hops of a request into spans of one trace. Called on the core's thread.
///
/// The hops inside a request end before the request does, so they wait here until its entry hop
/// ends; there are as many lists as open requests.
class NodeTraces final : public Node::NodeObserver
{
public:
    /// \a tracer outlives this object.
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
