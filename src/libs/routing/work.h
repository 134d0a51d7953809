#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <vector>

namespace Routing {

/// Names one request that waits or runs; unique within one start of this host.
using WorkId = std::uint64_t;

/// A part of a prompt that other requests may begin with too.
struct PromptPart
{
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/// What the decisions need to know of a request.
struct Work
{
    WorkId id = 0;
    Base::CustomerId customer;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    Base::TimePoint arrivedAt;
    /// An answer that starts by then is on time.
    Base::TimePoint startBy;
    /// After it an answer is of no use.
    Base::TimePoint giveUpAt;
    /// 0 for plain applications.
    std::uint32_t promptTokens = 0;
    /// Most tokens that may be generated.
    std::uint32_t outputTokens = 0;
    /// In the prompt's order; the last one belongs to this request alone.
    std::vector<PromptPart> parts;
    /// Servers that failed this request; others are preferred.
    std::vector<Base::ServerId> tried;
};

/// What decided for a server, for the log.
struct PlacementInputs
{
    /// Prompt tokens that the server has to read for this work, as reckoned.
    std::uint32_t unreadTokens = 0;
    /// Prompt tokens that it fetches from another server.
    std::uint32_t fetchedTokens = 0;
    /// Prompt tokens that it was given before and has not read, by all hosts.
    std::uint32_t tokensAhead = 0;
    /// Requests that run there, of all hosts.
    std::uint32_t running = 0;
    /// How many times longer than reckoned it took of late.
    double slowness = 1;
    double failureShare = 0;
};

/// Work goes to this server now.
struct Placement
{
    WorkId work = 0;
    Base::ServerId server;
    PlacementInputs inputs;
    /// The server that it is to fetch the prompt's beginning from; empty if it reads all itself.
    Base::ServerId fetchFrom;
};

enum class TurnedAwayReason {
    NoServer,    ///< No server of the service is known.
    TooLate,     ///< It could not start in time behind what waits.
    Crowded,     ///< More waits than this host keeps.
    BeyondShare, ///< The customer has its share, and there is no spare room.
};

/// Work that is not served now. It has not run.
struct TurnedAway
{
    WorkId work = 0;
    TurnedAwayReason reason = TurnedAwayReason::TooLate;
    /// When room for it is expected.
    Base::Milliseconds retryAfter{0};
    /// For the log: what its customer received of late, and the share level, in tokens.
    double received = 0;
    double shareLevel = 0;
};

const char *nameOf(TurnedAwayReason reason);

struct Decisions
{
    std::vector<Placement> placements;
    std::vector<TurnedAway> turnedAway;
};

/// How an attempt at a server ended.
enum class AttemptOutcome {
    Served,
    /// The server answered that it failed.
    ServerError,
    /// The server answered that it has no room and did not run the request.
    NoRoom,
    /// Another server has the address.
    WrongServer,
    /// No connection could be made.
    Unreachable,
    /// The connection broke, or what came was no answer.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// The caller left, or the attempt was ended from here for no fault of the server.
    Withdrawn,
};

const char *nameOf(AttemptOutcome outcome);

} // namespace Routing
