#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/residency.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Routing {

/// The identifier of a request that waits or runs. It is unique within one start of this host.
using WorkId = std::uint64_t;

/// A part of a prompt. Other requests may begin with the same parts.
struct PromptPart
{
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/// A software version that a request tries first although it is barred, if one of its servers has
/// capacity at once.
struct VersionTrial
{
    std::string version;
    /// The only servers of the version that are tried; null if all may be.
    std::shared_ptr<const std::set<Base::ServerId>> servers;
};

/// The properties of a request on which routing decisions depend.
struct Work
{
    WorkId id = 0;
    Base::CustomerId customer;
    /// The account (accountOf()) to which the dispatcher has counted the request. It stays when
    /// other regions are left for the request.
    Base::CustomerId account;
    /// 0 is the most urgent priority.
    std::uint32_t priority = 0;
    Base::TimePoint arrivedAt;
    /// An answer whose first event arrives by this time is on time.
    Base::TimePoint startBy;
    /// An answer that comes after this time is of no use to the caller.
    Base::TimePoint deadline;
    /// The number of tokens in the prompt; 0 for plain applications.
    std::uint32_t promptTokens = 0;
    /// The maximum number of tokens that the server may generate.
    std::uint32_t outputTokens = 0;
    /// The parts in the order in which they stand in the prompt. The last one belongs to this
    /// request alone.
    std::vector<PromptPart> parts;
    /// The servers at which earlier attempts of this request failed. Other servers are preferred.
    std::vector<Base::ServerId> tried;
    /// The server that still has the request while another one is sought; empty if none. It is not
    /// chosen.
    Base::ServerId runningAt;
    /// The only software version whose servers may run the request; empty if any may.
    std::optional<std::string> softwareVersion;
    /// The software versions whose servers must not run the request.
    std::set<std::string> barredVersions;
    /// Empty for most requests.
    std::optional<VersionTrial> trial;
    /// The only servers that may run the request; null if all may.
    std::shared_ptr<const std::set<Base::ServerId>> onlyServers;
    /// The regions in which the request may be handled.
    Residency residency;
    /// Whether the request goes on with a stream that this fleet has begun for the same customer.
    bool isContinuation = false;
};

/// Returns whether only some servers may run the request.
bool isBound(const Work &work);

/// Returns the expected cost of a request to its engine, in tokens that it reads.
double tokensOf(const Work &work);

/// The values on which the choice of a server was based. They are written to the log.
struct PlacementInputs
{
    /// The estimated number of prompt tokens that the server has to read for this request.
    std::uint32_t unreadTokens = 0;
    /// The number of prompt tokens that the server fetches from another server.
    std::uint32_t fetchedTokens = 0;
    /// The estimated number of prompt tokens that all hosts sent to the server earlier and that it
    /// has not read yet.
    std::uint32_t tokensAhead = 0;
    /// The number of requests of all hosts that run at the server.
    std::uint32_t running = 0;
    /// The recent ratio of the actual to the expected time to the first event; 1 means as expected.
    double slowness = 1;
    double failureShare = 0;
};

/// The decision to send a request to a server now.
struct Placement
{
    WorkId work = 0;
    Base::ServerId server;
    PlacementInputs inputs;
    /// The server from which \a server is to fetch the beginning of the prompt. It is empty if
    /// \a server reads the whole prompt itself.
    Base::ServerId fetchFrom;
};

enum class RejectionReason {
    NoServer,    ///< No server of the service is known, or all of them leave.
    NoRegion,    ///< No server is in a region in which the request may be handled.
    NoVersion,   ///< No server has the software version that the request needs.
    BackedOff,   ///< All servers asked for no requests for longer than the request can wait.
    TooLate,     ///< The request could not start in time behind the requests that wait already.
    QueueFull,   ///< The number of waiting requests has reached this host's limit.
    BeyondShare, ///< The customer has received its share, and there is no spare capacity.
};

/// The limit that a request of a customer beyond its share has met.
enum class ShareLimit {
    None,
    Rate,          ///< The customer has used its rate at this host.
    AheadOfOthers, ///< Others that ask for more have been served much less.
    SpareCapacity, ///< No server has spare capacity.
};

/// The decision to refuse a request for now. The request has not run.
struct Rejection
{
    WorkId work = 0;
    RejectionReason reason = RejectionReason::TooLate;
    /// Set for RejectionReason::BeyondShare.
    ShareLimit shareLimit = ShareLimit::None;
    /// The time after which capacity is expected to be free.
    Base::Milliseconds retryAfter{0};
    /// What the customer received recently and the share level, in tokens. Both are written to the
    /// log.
    double received = 0;
    double shareLevel = 0;
};

const char *nameOf(RejectionReason reason);
const char *nameOf(ShareLimit limit);

struct Decisions
{
    std::vector<Placement> placements;
    std::vector<Rejection> rejected;
};

/// The way in which an attempt at a server ended.
enum class AttemptOutcome {
    Served,
    /// The server answered with an error of its own.
    ServerError,
    /// The server answered that it has no capacity and did not run the request.
    NoRoom,
    /// Another server now has the address.
    WrongServer,
    /// No connection could be established.
    Unreachable,
    /// The connection broke, or the data that arrived was not a valid answer.
    Broken,
    /// No data arrived within the timeout.
    Silent,
    /// The caller disconnected, or this host ended the attempt for a reason other than a fault of
    /// the server.
    Withdrawn,
};

const char *nameOf(AttemptOutcome outcome);

} // namespace Routing
