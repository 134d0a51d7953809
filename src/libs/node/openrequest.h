#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "node/event.h"
#include "node/storedanswer.h"
#include "scheduling/retrypolicy.h"
#include "settings/configuration.h"

#include <cstdint>
#include <string>

namespace Node {

enum class RequestState {
    Claiming,   ///< The request waits for its claim in the table.
    Waiting,    ///< The request waits for a permit.
    Sent,       ///< The current attempt is on its way to a backend server or runs there.
    BackingOff, ///< The last attempt failed, and the request waits before the next one.
};

/// A request without a final answer, as its entry host tracks it.
struct OpenRequest
{
    Base::RequestKey key;
    CallerRequest callerRequest;
    Base::CustomerId customer;
    Settings::ClassTarget target;
    Base::PoolId pool;
    RequestState state = RequestState::Waiting;
    /// The caller disconnected or already has its final failure, so nothing more is sent to it.
    bool isCallerDisconnected = false;
    /// The caller reads more slowly than its answer arrives, so reading from the backend server
    /// is paused.
    bool isBlocked = false;

    /// Number of the current attempt, counted from 1; 0 before the first one.
    std::uint32_t attempt = 0;
    std::uint32_t shard = 0;
    /// Router that the permit request was sent to, or that granted the permit.
    Base::HostId home;
    Base::Incarnation homeIncarnation = 0;
    Base::ServerId server;
    /// The attempt that the current permit was granted for. A resumed stream keeps its permit, so
    /// this may be an earlier attempt than the current one.
    AttemptId permit;
    /// Next step and its time; valid only in the state BackingOff.
    Scheduling::RetryStep nextRetryStep = Scheduling::RetryStep::GiveUp;
    Base::TimePoint nextRetryStepAt;
    /// Fencing token of the claim; 0 if there is none.
    std::uint64_t fence = 0;

    Base::TimePoint arrivedAt;
    Base::TimePoint permitRequestedAt;
    Base::TimePoint sentAt;
    /// Time at which data last came from the backend server, the attempt was sent, or the caller's
    /// buffer had room again, whichever was last.
    Base::TimePoint lastResponseAt;
    Base::TimePoint firstPartAt;
    bool hasFirstPart = false;
    bool isAnswerStarted = false;
    /// Some attempt may have run. From then on, no failure of this request reports that nothing
    /// ran.
    bool mayHaveRun = false;

    std::uint64_t nextPart = 0;
    std::string streamName;
    /// Weighted tokens received under the current permit.
    Base::ServiceUnits received = 0;
    /// The part of them that was reported to the home.
    Base::ServiceUnits charged = 0;
    /// Weighted tokens received under earlier permits.
    Base::ServiceUnits receivedBefore = 0;
    /// The answer so far, collected only for work that is not repeatable, so that a repeated call
    /// gets the same answer.
    StoredAnswer storedAnswer;
    std::size_t storedAnswerBytes = 0;

    bool needsClaim() const { return !callerRequest.isRepeatable; }
    AttemptId attemptId() const { return {key, attempt}; }
    bool holdsPermit() const
    {
        const bool isResuming = state == RequestState::BackingOff
                                && nextRetryStep == Scheduling::RetryStep::ResumeStream;
        return state == RequestState::Sent || isResuming;
    }
};

} // namespace Node
