#pragma once

#include "node/nodeobserver.h"

#include <vector>

namespace Daemon {

/// Passes on what the node did to several observers, in order. Observers outlive the list.
class ObserverList final : public Node::NodeObserver
{
public:
    void add(Node::NodeObserver &observer) { m_observers.push_back(&observer); }

    void hopFinished(const Node::HopRecord &record) override;
    void requestFinished(const Node::RequestRecord &record) override;
    void retried(const Base::RequestKey &request) override;

private:
    std::vector<Node::NodeObserver *> m_observers;
};

} // namespace Daemon
