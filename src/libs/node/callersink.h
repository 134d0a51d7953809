#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "coordination/configurationreplica.h"
#include "settings/configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Node {

/// Identifies the open request of one caller; assigned by the daemon.
using CallerId = std::uint64_t;

/// Kind of a failure that is reported to a caller or an operator.
enum class FailureType {
    BadRequest,
    Unauthorized,
    UnknownClass,
    UnknownPool,
    NotReady,   ///< This process has no configuration or list of hosts yet.
    Overloaded, ///< The admission policy refused the request.
    DeadlineUnmet,
    NoCapacity,       ///< No usable backend server.
    KeyConflict,      ///< The idempotency key was used for other content.
    KeyInProgress,    ///< A call with the same key is running or may have run.
    ClaimUnavailable, ///< The call could not be claimed in the table, or its claim lapsed.
    BackendFailed,    ///< The backend server failed and no retry was allowed.
    ShuttingDown,
    LostRace, ///< An operator's change was based on an outdated version.
    PlatformDown,
};

/// Whether the caller's work ran: No if it certainly did not, else Unknown.
enum class Ran { No, Unknown };

/// The final answer to a request that was refused or failed.
struct Failure
{
    FailureType type = FailureType::BadRequest;
    std::string message;
    Ran ran = Ran::No;
    std::optional<Base::Milliseconds> retryAfter;
    /// The configuration version in force; set only with LostRace.
    std::optional<Settings::ConfigurationVersion> currentVersion;
    std::string requestId;
};

/// One piece of an answer: one event of a model's stream, or some bytes of a service's body.
struct AnswerPart
{
    std::string payload;
};

/// Start of an answer: status and headers.
struct AnswerHead
{
    std::string requestId;
    int status = 200;
    std::string contentType;
    bool isEventStream = false;
};

/// A host that accepts callers.
struct EntryHost
{
    std::string address;
    Base::ZoneId zone;
};

struct EntryHostList
{
    /// The hosts in the caller's availability zone first, then all others.
    std::vector<EntryHost> hosts;
    /// How long the caller may keep the list.
    std::chrono::seconds maxAge{0};
};

/// The targets of all classes of work. A target is the time within which work of a class is to
/// start.
struct TargetList
{
    Settings::ConfigurationVersion version = 0;
    std::vector<Settings::VersionedTarget> targets;
};

/// State of a node, as reported to operators.
struct NodeStatus
{
    bool isReady = false;
    bool isLeaving = false;
    Settings::ConfigurationVersion version = 0;
    std::size_t liveRouters = 0;
    /// Requests of callers of this process without a final answer.
    std::size_t openRequests = 0;
    /// Requests that wait for a permit in the queues of the homes on this router.
    std::size_t waitingHere = 0;
};

/// Receives the answers of the node to callers and operators.
///
/// Each request gets startAnswer(), any number of appendAnswer() and then finishAnswer(). In place
/// of any of these calls it may get fail(), which is then its last one.
class CallerSink
{
public:
    virtual ~CallerSink() = default;
    virtual void startAnswer(CallerId caller, const AnswerHead &head) = 0;
    virtual void appendAnswer(CallerId caller, const AnswerPart &part) = 0;
    virtual void finishAnswer(CallerId caller) = 0;
    /// Reports a failure: as an error response before startAnswer(), else as a visible error in the
    /// stream.
    virtual void fail(CallerId caller, const Failure &failure) = 0;
    virtual void sendEntryHosts(CallerId caller, const EntryHostList &list) = 0;
    virtual void sendTargets(CallerId caller, const TargetList &list) = 0;
    virtual void sendStatus(CallerId caller, const NodeStatus &status) = 0;
};

} // namespace Node
