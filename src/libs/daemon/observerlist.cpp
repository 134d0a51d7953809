#include "daemon/observerlist.h"

namespace Daemon {

void ObserverList::hopFinished(const Node::HopRecord &record)
{
    for (Node::NodeObserver *it : m_observers)
        it->hopFinished(record);
}

void ObserverList::requestFinished(const Node::RequestRecord &record)
{
    for (Node::NodeObserver *it : m_observers)
        it->requestFinished(record);
}

void ObserverList::retried(const Base::RequestKey &request)
{
    for (Node::NodeObserver *it : m_observers)
        it->retried(request);
}

} // namespace Daemon
