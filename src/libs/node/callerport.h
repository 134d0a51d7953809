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

/// One caller's open exchange with this process, named by the daemon.
using CallerId = std::uint64_t;

enum class FailureType {
    BadRequest,
    Unauthorized,
    UnknownClass,
    UnknownPool,
    NotReady,   ///< No configuration yet.
    Overloaded, ///< Turned away by admission.
    DeadlineUnmet,
    NoCapacity,       ///< No usable backend server.
    KeyConflict,      ///< The idempotency key was used for other content.
    KeyInProgress,    ///< The same call is running.
    ClaimUnavailable, ///< The table gave no claim.
    BackendFailed,    ///< The backend server failed and no retry was allowed.
    ShuttingDown,
    LostRace, ///< An operator's change met a newer version.
    PlatformDown,
};

/// Whether the caller's work ran, as far as it is known for certain.
enum class Ran { No, Unknown };

/// The final answer to a request that is refused or has failed.
struct Failure
{
    FailureType type = FailureType::BadRequest;
    std::string message;
    Ran ran = Ran::No;
    std::optional<Base::Milliseconds> retryAfter;
    /// With LostRace: the version in force.
    std::optional<Settings::ConfigurationVersion> currentVersion;
    std::string requestId;
};

/// One piece of an answer: one event of a model's stream, or some bytes of a service's body.
struct AnswerPart
{
    std::string payload;
};

struct AnswerHead
{
    std::string requestId;
    int status = 200;
    std::string contentType;
    bool isEventStream = false;
};

struct EntryHost
{
    std::string address;
    Base::ZoneId zone;
};

struct EntryHostList
{
    /// Nearest availability zone first.
    std::vector<EntryHost> hosts;
    std::chrono::seconds maxAge{0};
};

struct TargetList
{
    Settings::ConfigurationVersion version = 0;
    std::vector<Settings::VersionedTarget> targets;
};

struct NodeStatus
{
    bool isReady = false;
    bool isLeaving = false;
    Settings::ConfigurationVersion version = 0;
    std::size_t liveRouters = 0;
    std::size_t openRequests = 0;
    std::size_t waitingHere = 0;
};

/// Where the node sends what callers and operators get. A request gets either startAnswer,
/// any number of appendAnswer and then finishAnswer; or fail, at any time before finishAnswer.
class CallerPort
{
public:
    virtual ~CallerPort() = default;
    virtual void startAnswer(CallerId caller, const AnswerHead &head) = 0;
    virtual void appendAnswer(CallerId caller, const AnswerPart &part) = 0;
    virtual void finishAnswer(CallerId caller) = 0;
    /// Before startAnswer: an error response. After it: a visible error in the stream.
    virtual void fail(CallerId caller, const Failure &failure) = 0;
    virtual void sendEntryHosts(CallerId caller, const EntryHostList &list) = 0;
    virtual void sendTargets(CallerId caller, const TargetList &list) = 0;
    virtual void sendStatus(CallerId caller, const NodeStatus &status) = 0;
};

} // namespace Node
