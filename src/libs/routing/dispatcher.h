#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/customershares.h"
#include "routing/fairwaitqueue.h"
#include "routing/fleetload.h"
#include "routing/prefixfetch.h"
#include "routing/promptcachemodel.h"
#include "routing/servercost.h"
#include "routing/serverhealth.h"
#include "routing/serverset.h"
#include "routing/work.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Routing {

/// Decides for the requests of one service that enter at this host: which server, now or later,
/// or not at all.
///
/// Load: the pool is crowded by a burst, by a large customer, or because servers are lost. Servers
/// take work in order of arrival and one long prompt delays all that run beside it. So a server is
/// kept only just full and what is more waits here, in fair order; work that could not start in
/// time behind what waits is turned away at once, with a time after which there should be room.
///
/// CustomerShares says what room a customer's work may have: within its share it waits for a server
/// that is full, beyond it it is placed on a server with little to do, or turned away at once.
///
/// Placement weighs, in milliseconds to the first event: prompt tokens given to the server and not
/// read yet, by this host and the others; tokens of this prompt that it does not keep; requests
/// that run there; how slow it was of late, and how often it failed. A prompt beginning goes where
/// it is kept, also if that server is free only a little later than others; further servers read
/// it when the ones that keep it are crowded. The hosts tell each other what they sent where, and a
/// beginning that nobody keeps begins at the same server at all of them, by hashing.
class Dispatcher
{
public:
    Dispatcher(const ServiceTraits &traits, const Base::ZoneId &ownZone);

    void setTraits(const ServiceTraits &traits);
    /// The servers that may get work now.
    void setServers(const std::vector<RegisteredServer> &servers);
    /// \a others changes with time and outlives the dispatcher; peerLoadChanged() is to follow each
    /// change.
    void setPeerLoad(const PeerLoad &others);
    void peerLoadChanged();

    /// Work that arrives, or comes back after a failed attempt.
    Decisions submit(Work work, Base::TimePoint now);
    /// Work that this host turned away before it came here. It is demand all the same: without it
    /// the fleet believes that its customer lacks nothing.
    void recordTurnedAway(const Work &work, Base::TimePoint now);
    /// Work that waits and is no longer wanted.
    void withdraw(WorkId id);
    /// The first event of placed work came.
    void started(WorkId id, Base::TimePoint now);
    /// The attempt is over; what waits may take its place.
    Decisions finished(WorkId id, AttemptOutcome outcome, Base::TimePoint now);
    /// Looks at what waits again: time has passed, or servers or loads have changed.
    Decisions advance(Base::TimePoint now);

    /// When the first event of placed work is expected, from when it was placed.
    Base::Duration expectedStart(WorkId id) const;
    /// Adds this host's load to \a load.
    void report(HostLoad &load, Base::TimePoint now);
    /// What another host sent to the servers.
    void applyPartUses(const std::vector<PartUse> &uses, Base::TimePoint now);
    std::size_t waiting() const { return m_waiting.size(); }
    /// For the log (CustomerShares).
    double shareLevel(Base::TimePoint now) { return m_shares.shareLevel(now); }
    double unmetLevel() const { return m_shares.unmetLevel(); }

private:
    struct ServerState
    {
        RegisteredServer server;
        ServerLoad own;
        /// Of all other hosts. Looked up once a report and not for each decision, which looks at
        /// all servers.
        ServerLoad others;
        ServerHealth health;
        PromptCache cache;
        /// Prompt tokens of work that waits here for this server and would not be served sooner by
        /// another one.
        std::uint64_t awaitedTokens = 0;
        /// What this host has ordered other servers to fetch from it and is not there yet, as time.
        double handingOutMilliseconds = 0;
    };
    struct Placed
    {
        Work work;
        Base::ServerId server;
        std::uint32_t unreadTokens = 0;
        /// Its time is that which it takes at the keeper, without what waits there.
        std::optional<FetchPlan> fetch;
        bool isStarted = false;
        Base::TimePoint at;
        Base::Duration expected{};
    };
    struct Choice
    {
        ServerState *state = nullptr;
        double milliseconds = 0;
        std::uint32_t unreadTokens = 0;
        bool hasRoom = false;
        std::optional<FetchPlan> fetch;
    };
    /// Where the beginning of the prompt that is decided on is kept.
    struct KeptPrompt
    {
        /// Most tokens of it that one server keeps.
        std::uint32_t mostTokens = 0;
        /// The server for a beginning that nobody keeps whole; null if one does.
        const ServerState *hashed = nullptr;
        PrefixFetch fetch;
    };
    /// The server that serves the work soonest. If that one has no room, the work is to wait for
    /// it, since it would be served later elsewhere. With \a takesAny only servers with room count.
    std::optional<Choice> choose(const Work &work, Base::TimePoint now, Admission admission,
                                 bool takesAny = false);
    /// What the work costs at one server that keeps \a keptTokens of its prompt.
    Choice choiceOf(ServerState &state, const ServerStanding &standing, const Work &work,
                    std::uint32_t keptTokens, const KeptPrompt &prompt, Base::TimePoint now) const;
    /// Who could hand out the beginning of the prompt that is decided on.
    std::vector<PrefixKeeper> keepersOf(const Work &work, const std::vector<ChainLink> &chain,
                                        Base::TimePoint now) const;
    /// The work began or ended; its server has fetched what it was to fetch.
    void fetchOver(Placed &placed);
    ServerStanding standingOf(const ServerState &state, Base::TimePoint now) const;
    /// The server that a prompt beginning has by hashing; null if there are none.
    const ServerState *hashedServer(std::uint64_t beginning) const;
    void notePartUses(ServerState &state, const Work &work, Base::TimePoint now,
                      Base::TimePoint readBy);
    bool hasRoom(const ServerState &state, Admission admission, Base::TimePoint now) const;
    /// Mean over the servers that may get work now: 0 with spare room, 1 without, 2 without room
    /// for anybody.
    double crowding(Base::TimePoint now) const;
    void place(Work work, const Choice &choice, Base::TimePoint now, Decisions &decisions);
    /// Places what waits as far as there is room.
    void drain(Base::TimePoint now, Decisions &decisions);
    TurnedAway turnAway(const Work &work, TurnedAwayReason reason, Base::TimePoint now);
    void turnAwayLate(Base::TimePoint now, Decisions &decisions);
    Base::Duration waitBehind(const Base::CustomerId &customer) const;
    double drainTokensPerMs() const;
    Base::Milliseconds retryAfter() const;

    ServerCost m_cost;
    CustomerShares m_shares;
    Base::ZoneId m_ownZone;
    const PeerLoad *m_others = nullptr;
    std::map<Base::ServerId, ServerState> m_servers;
    std::unordered_map<WorkId, Placed> m_placed;
    FairWaiting m_waiting;
    std::vector<PartUse> m_partUses;
    /// Tokens that each server keeps of the prompt that is decided on, in their order.
    std::vector<std::uint32_t> m_kept;
    Base::TimePoint m_drainedAt{};
    Base::TimePoint m_measuredAt{};
    Base::TimePoint m_forgotAt{};
};

} // namespace Routing
