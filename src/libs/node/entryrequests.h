#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "claims/claimbook.h"
#include "coordination/configurationreplica.h"
#include "coordination/membership.h"
#include "node/environment.h"
#include "node/nodesettings.h"
#include "node/openrequest.h"
#include "node/outbox.h"
#include "node/permitclient.h"
#include "node/poolhomes.h"
#include "node/requestrecorder.h"
#include "node/serverdirectory.h"
#include "scheduling/retrybudget.h"
#include "scheduling/retrypolicy.h"

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace Node {

/// What the entry side looks at but does not own.
struct EntryContext
{
    const NodeSettings &settings;
    const Environment &environment;
    const Coordination::Membership &membership;
    const Coordination::ConfigurationReplica &configuration;
    const ServerDirectory &directory;
    Claims::ClaimBook &claims;
    const PoolHomes &homes;
    const HomeOrderCache &orders;
    Outbox &outbox;
};

/// The requests of the callers connected to this process, from arrival to final answer.
///
/// A request stays here, where its caller's connection is; only a permit request travels. So
/// the loss of any other router loses no request, and it is known here, and only here, whether
/// a byte of it was sent.
class EntryRequests
{
public:
    static Base::Result<std::unique_ptr<EntryRequests>> create(const EntryContext &context);

    void open(const CallerRequest &asked, Base::TimePoint now);
    void handleCallerDisconnected(CallerId caller, Base::TimePoint now);
    void handleCallerBlocked(CallerId caller);
    void handleCallerUnblocked(CallerId caller, Base::TimePoint now);

    void handleClaimOutcome(const Claims::ClaimOutcome &outcome, Base::TimePoint now);
    void handleGrant(const Base::HostId &home, const PermitGrant &grant, Base::TimePoint now);
    void handleRefusal(const PermitRefusal &refusal, Base::TimePoint now);
    void handlePermitQuery(const Base::HostId &home, const PermitQuery &query);

    void handleBackendHead(const BackendHead &head, Base::TimePoint now);
    void handleBackendPart(const BackendPart &part, Base::TimePoint now);
    void handleBackendFinished(const BackendFinished &finished, Base::TimePoint now);
    void handleBackendFailed(const BackendFailed &failed, Base::TimePoint now);

    /// Compares what waits at \a home with what it says, and mends the difference.
    void reconcile(const Base::HostId &home, const WaitingReply &reply, Base::TimePoint now);
    std::vector<Base::HostId> takeUnresponsiveHomes() { return m_permits.takeUnresponsiveHomes(); }
    /// The set of usable routers changed: asks new homes, tells them of permits in use.
    void moveToCurrentHome(Base::TimePoint now);
    void advance(Base::TimePoint now);

    /// Text for an answer to a request that does not go to a backend server.
    std::string newRequestId() { return Base::toString(newKey()); }

    std::size_t size() const { return m_open.size(); }

private:
    EntryRequests(const EntryContext &context, Scheduling::RetryBudget budget,
                  Scheduling::RetryPolicy policy);

    Base::RequestKey newKey();
    OpenRequest *find(const AttemptId &attempt);
    void startAttempt(OpenRequest &open, Base::TimePoint now);
    void send(OpenRequest &open, Base::TimePoint now);
    Scheduling::RetryDecision decideRetry(const OpenRequest &open, const BackendFailed &failed,
                                          Base::TimePoint now);
    void runNextRetryStep(OpenRequest &open, Base::TimePoint now);
    void replay(OpenRequest &open, const std::string &storedAnswer, Base::TimePoint now);
    void failWith(OpenRequest &open, Failure failure, Base::TimePoint now);
    void expire(OpenRequest &open, Base::TimePoint now);
    /// Takes the work back from its home or its backend server.
    void cancelWork(OpenRequest &open, Base::TimePoint now);
    void settleClaim(const OpenRequest &open, Base::TimePoint now);
    void close(const Base::RequestKey &key);

    EntryContext m_context;
    Scheduling::RetryBudget m_budget;
    Scheduling::RetryPolicy m_retryPolicy;
    PermitClient m_permits;
    RequestRecorder m_recorder;
    std::map<Base::RequestKey, OpenRequest> m_open;
    std::map<CallerId, Base::RequestKey> m_byCaller;
    std::uint64_t m_lastSerial = 0;
    Base::TimePoint m_nextCheck{};
};

} // namespace Node
