// How an exchange takes up a stream that another request began.

#include "gateway/exchange.h"

#include <algorithm>
#include <memory>

namespace Gateway {

namespace {

/// By then, another host has reported which software version began the stream.
constexpr Base::Milliseconds unknownStreamRetryAfter{300};
/// Time within which the store or the other hosts tell whether there are other versions. It covers
/// a call to a slow store.
constexpr Base::Duration maxProofWait = std::chrono::milliseconds(1000);

} // namespace

void Exchange::takeUp()
{
    const Base::TimePoint now = m_port->now();
    const Base::TimePoint takenUpAt = m_accepted.request.readAt;
    const Routing::Continuation it =
        m_binding.bindTakenUp(m_port->memory().streamOrigins(), takenUpAt, now);
    const bool mayWait = now < std::min(takenUpAt + maxProofWait, effectiveDeadline());
    if (it.kind == Routing::Continuation::Kind::Unproven && mayWait) {
        m_state = State::Proving;
        m_port->proveVersions(takenUpAt);
        return;
    }
    m_state = State::Waiting;
    m_record.continuation = it.kind;
    m_port->streamResumed(true, it.kind);
    if (!it.isAllowed()) {
        fail({FailureType::UnknownStream, false, unknownStreamRetryAfter});
        return;
    }
    m_accepted.work.isContinuation = it.kind == Routing::Continuation::Kind::SameVersion;
    submit();
}

void Exchange::checkTakeUp()
{
    if (m_state != State::Proving)
        return;
    const std::shared_ptr<Exchange> self = shared_from_this();
    takeUp();
}

} // namespace Gateway
