#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "claims/claimregistry.h"
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

/// The objects that EntryRequests uses but does not own. They must outlive it.
struct EntryContext
{
    const NodeSettings &settings;
    const Environment &environment;
    const Coordination::Membership &membership;
    const Coordination::ConfigurationReplica &configuration;
    const ServerDirectory &directory;
    Claims::ClaimRegistry &claims;
    const PoolHomes &homes;
    const HomeOrderCache &homeOrders;
    Outbox &outbox;
};

/// The requests of the callers connected to this process, from arrival to final answer. This
/// process is the entry host of these requests.
///
/// A request stays at its entry host, which also holds the caller's connection; only a permit
/// request is sent to the home. Therefore no request is lost when another router fails, and only
/// the entry host knows whether a byte of the request was sent to a backend server.
///
/// Work that is not repeatable needs a claim: a row in the table which ensures that at most one
/// router sends the call with a given idempotency key. The fence of a claim is a number that grows
/// with each owner of the key.
class EntryRequests
{
public:
    /// Fails if the retry budget or the retry policy in the settings is invalid.
    static Base::Result<std::unique_ptr<EntryRequests>> create(const EntryContext &context);

    /// Opens a request: authenticates the caller, then claims the work or requests a permit.
    void open(const CallerRequest &callerRequest, Base::TimePoint now);
    /// Cancels the work of the caller's request. Work that is not repeatable and already sent runs
    /// to its end.
    void handleCallerDisconnected(CallerId caller, Base::TimePoint now);
    /// Pauses reading from the backend server until handleCallerUnblocked().
    void handleCallerBlocked(CallerId caller);
    void handleCallerUnblocked(CallerId caller, Base::TimePoint now);

    void handleClaimOutcome(const Claims::ClaimOutcome &outcome, Base::TimePoint now);
    /// Sends the attempt to the granted server. Releases the permit if no request waits for it.
    void handleGrant(const Base::HostId &home, const PermitGrant &grant, Base::TimePoint now);
    void handleRefusal(const PermitRefusal &refusal, Base::TimePoint now);
    /// Reports the queried permits that are not in use as released.
    void handlePermitQuery(const Base::HostId &home, const PermitQuery &query);

    void handleBackendHead(const BackendHead &head, Base::TimePoint now);
    void handleBackendPart(const BackendPart &part, Base::TimePoint now);
    void handleBackendFinished(const BackendFinished &finished, Base::TimePoint now);
    void handleBackendFailed(const BackendFailed &failed, Base::TimePoint now);

    /// Compares the requests that wait at \a home with its reply. Sends missing permit requests
    /// again and cancels unwanted ones.
    void reconcile(const Base::HostId &home, const WaitingReply &reply, Base::TimePoint now);
    /// Returns each home that left too many digests unanswered, once.
    std::vector<Base::HostId> takeUnresponsiveHomes() { return m_permits.takeUnresponsiveHomes(); }
    /// Called when the set of usable routers has changed. Sends waiting permit requests to the
    /// new homes and reports the permits in use to them.
    void moveToCurrentHome(Base::TimePoint now);
    /// Sends due digests, expires requests past their deadline, fails attempts at idle backend
    /// servers and runs due retries.
    void advance(Base::TimePoint now);

    /// Returns a new request id, for the answer to a request that does not go to a backend
    /// server.
    std::string newRequestId() { return Base::toString(newKey()); }

    /// Returns the number of requests without a final answer.
    std::size_t size() const { return m_open.size(); }

private:
    EntryRequests(const EntryContext &context, Scheduling::RetryBudget budget,
                  Scheduling::RetryPolicy policy);

    Base::RequestKey newKey();
    /// Returns the open request if \a attempt is its current one; else null.
    OpenRequest *find(const AttemptId &attempt);
    void startAttempt(OpenRequest &open, Base::TimePoint now);
    void send(OpenRequest &open, Base::TimePoint now);
    Scheduling::RetryDecision decideRetry(const OpenRequest &open, const BackendFailed &failed,
                                          Base::TimePoint now);
    void runNextRetryStep(OpenRequest &open, Base::TimePoint now);
    /// Cancels the attempt, which may have run, and handles it as failed.
    void giveUpAttempt(const AttemptId &attempt, Base::TimePoint now);
    /// Answers a repeated call with the stored answer of the first one.
    void replay(OpenRequest &open, const std::string &storedAnswer, Base::TimePoint now);
    void failWith(OpenRequest &open, Failure failure, Base::TimePoint now);
    /// Fails a request whose deadline has passed.
    void expire(OpenRequest &open, Base::TimePoint now);
    /// Cancels the permit request at the home or the attempt at the backend server, and releases
    /// the permit.
    void cancelWork(OpenRequest &open, Base::TimePoint now);
    /// Frees the claim of a failed request if its work certainly did not run; else abandons it.
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
