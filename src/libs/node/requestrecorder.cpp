#include "node/requestrecorder.h"

namespace Node {

RequestRecorder::RequestRecorder(NodeObserver &observer, const Base::HostId &self)
    : m_observer(&observer)
    , m_self(self)
{}

void RequestRecorder::recordHop(const OpenRequest &open, Hop hop, Base::TimePoint begin,
                                Base::TimePoint end, const std::string &place, bool isFailed)
{
    m_observer->hopFinished(
        {open.key, open.callerRequest.traceparent, hop, begin, end, place, isFailed});
}

void RequestRecorder::recordEnd(const OpenRequest &open, const Failure *failure,
                                Base::TimePoint now)
{
    recordHop(open, Hop::Entry, open.arrivedAt, now, m_self.value(), failure != nullptr);
    RequestRecord record;
    record.request = open.key;
    record.customer = open.customer;
    record.workClass = open.target.name;
    record.isFailed = failure != nullptr;
    if (failure)
        record.failure = failure->type;
    if (open.state == RequestState::Sent)
        record.queueWait = open.sentAt - open.arrivedAt;
    if (open.hasFirstPart)
        record.firstPart = open.firstPartAt - open.arrivedAt;
    record.whole = now - open.arrivedAt;
    record.units = open.receivedBefore + open.received;
    record.attempts = open.attempt;
    m_observer->requestFinished(record);
}

} // namespace Node
