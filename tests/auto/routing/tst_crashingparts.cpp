#include "routing/crashingparts.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Base::TimePoint start{seconds(1000)};
constexpr std::uint64_t deadly = 66;
constexpr std::uint64_t common = 1;
constexpr std::uint64_t firstRare = 6;

Base::ServerId server(int n)
{
    return Base::ServerId("s-" + std::to_string(n));
}

std::vector<PromptPart> prompt(const std::vector<std::uint64_t> &shared, std::uint64_t own)
{
    std::vector<PromptPart> parts;
    for (const std::uint64_t it : shared)
        parts.push_back({it, 100});
    parts.push_back({own, 10});
    return parts;
}

class KnownLife final : public ServerLife
{
public:
    std::optional<Base::TimePoint> lastResponseFrom(const Base::ServerId &id) const override
    {
        const auto it = responses.find(id);
        return it == responses.end() ? std::nullopt : std::optional(it->second);
    }
    bool isGone(const Base::ServerId &id) const override { return gone.contains(id); }

    std::map<Base::ServerId, Base::TimePoint> responses;
    std::set<Base::ServerId> gone;
};

struct Host
{
    KnownLife life;
    CrashingParts parts{life};

    /// Server \a n ends under a request that is like no other one.
    void end(const std::vector<PromptPart> &prompt, int n, Base::TimePoint at,
             bool isSilence = false)
    {
        const auto content = static_cast<std::uint64_t>(n);
        parts.recordEnd(prompt, {server(n), at - milliseconds(100), at, isSilence, content}, at);
    }
    bool isBlocked(std::uint64_t part, Base::TimePoint now)
    {
        return parts.blockedPart(prompt({part}, 999), now).has_value();
    }
};

/// One run of the model: hosts before a pool whose servers end under one part, or for other
/// reasons, and come back with a new id after some seconds.
class Fleet
{
public:
    struct Load
    {
        /// Requests a second.
        double sound = 40;
        double deadly = 0;
        double crashes = 0;
        double brokenAnswers = 0;
        /// The number of servers that lose power at 10 s, and the time between them.
        int powerLoss = 0;
        milliseconds powerLossStep{0};
        milliseconds reportInterval{250};
        /// When all hosts are killed.
        std::vector<seconds> kills;
    };

    Fleet(std::uint32_t seed, const Load &load)
        : m_load(load)
        , m_random(seed)
    {
        for (int n = 0; n < 9; ++n)
            m_servers.push_back({m_nextServer++, start, 0});
    }

    void run(seconds length)
    {
        for (m_now = start; m_now < start + length; m_now += tick) {
            for (const seconds at : m_load.kills) {
                if (m_now == start + at)
                    killHosts();
            }
            if (happens(m_load.sound))
                send({pick(8), soundPrompt(), false});
            const bool isTrouble = m_now > start + seconds(5);
            if (isTrouble && happens(m_load.deadly))
                send({pick(8), prompt({common, deadly}, ++m_own), true});
            if (isTrouble && happens(m_load.crashes))
                crash(pick(9));
            for (int n = 0; n < m_load.powerLoss; ++n) {
                if (m_now == start + seconds(10) + n * m_load.powerLossStep)
                    crash(n);
            }
            if (isTrouble && happens(m_load.brokenAnswers) && !m_runs.empty())
                breakOff(m_runs.size() - 1);
            for (std::size_t n = 0; n < m_runs.size();)
                n = advance(n);
            report();
            for (Host &it : m_hosts) {
                if (isTrouble && pick(20) == 0)
                    isFrequentBlocked |= it.isBlocked(common + pick(firstRare - common), m_now);
            }
        }
    }

    /// Whether a part that many requests share was blocked at any time.
    bool isFrequentBlocked = false;
    int sentLate = 0;
    int soundAsked = 0;
    int soundRefused = 0;
    /// Those at hosts in touch, long after the fifth end.
    int soundAskedLate = 0;
    int soundRefusedLate = 0;
    int ended = 0;
    std::size_t blocked(Base::TimePoint now)
    {
        std::size_t most = 0;
        for (const Host &it : m_hosts)
            most = std::max(most, it.parts.blocked(now));
        return most;
    }
    Base::TimePoint now() const { return m_now; }

private:
    static constexpr milliseconds tick{5};
    static constexpr seconds stableWindow{3};
    static constexpr seconds downTime{2};

    struct Request
    {
        std::size_t host = 0;
        std::vector<PromptPart> parts;
        bool isDeadly = false;
        bool isRepeat = false;
    };
    struct Run
    {
        Request request;
        std::size_t place = 0;
        int id = 0;
        Base::TimePoint sentAt, beginsAt, endsAt;
        bool isProved = false;
    };
    struct Server
    {
        int id = 0;
        Base::TimePoint backAt;
        int running = 0;
    };

    std::size_t pick(std::size_t n) { return m_random() % n; }
    bool happens(double perSecond) { return m_random() % 1'000'000 < perSecond * 5000; }
    milliseconds between(int from, int to)
    {
        return milliseconds(from + static_cast<int>(pick(static_cast<std::size_t>(to - from))));
    }
    std::vector<PromptPart> soundPrompt()
    {
        // Some parts are rare, and most requests share the first part with the deadly ones.
        const std::uint64_t second = pick(4) == 0 ? 100 + pick(200) : 2 + pick(4);
        return pick(5) == 0 ? prompt({second}, ++m_own) : prompt({common, second}, ++m_own);
    }

    /// All hosts forget what they know and are back after some time.
    void killHosts()
    {
        m_runs.clear();
        for (Host &it : m_hosts) {
            it.life = KnownLife();
            it.parts = CrashingParts(it.life);
        }
        m_hostsBackAt = m_now + downTime;
    }

    void send(const Request &request)
    {
        if (m_now < m_hostsBackAt)
            return;
        Host &host = m_hosts[request.host];
        const bool isInTouch = m_now > m_hostsBackAt + stableWindow;
        const bool isSound = !request.isDeadly && !request.isRepeat;
        const bool isLate = isInTouch && m_fifthEnd && m_now > *m_fifthEnd + 2 * stableWindow;
        soundAsked += isSound ? 1 : 0;
        soundAskedLate += isSound && isLate ? 1 : 0;
        const bool isRefused = host.parts.blockedPart(request.parts, m_now).has_value()
                               || (request.isRepeat && host.parts.isSuspect(request.parts, m_now));
        if (isRefused) {
            soundRefused += isSound ? 1 : 0;
            soundRefusedLate += isSound && isLate ? 1 : 0;
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t n = 0; n < m_servers.size(); ++n) {
            if (m_servers[n].backAt <= m_now)
                up.push_back(n);
        }
        if (up.empty())
            return;
        const std::size_t place = up[pick(up.size())];
        if (request.isDeadly && isInTouch && m_fifthEnd && m_now > *m_fifthEnd + stableWindow)
            ++sentLate;
        const Base::TimePoint begins = m_now + between(40, 250);
        m_runs.push_back({request, place, m_servers[place].id, m_now, begins,
                          begins + between(200, 3000), false});
    }

    void breakOff(std::size_t at)
    {
        const Run run = m_runs[at];
        m_runs.erase(m_runs.begin() + static_cast<std::ptrdiff_t>(at));
        if (m_now - run.beginsAt < CrashingParts::proofTime) {
            m_hosts[run.request.host].parts.recordEnd(
                run.request.parts,
                {server(run.id), run.sentAt, m_now, false, run.request.parts.back().hash}, m_now);
        }
        Request again = run.request;
        if (!std::exchange(again.isRepeat, true))
            send(again);
    }

    void crash(std::size_t place)
    {
        Server &it = m_servers[place];
        if (it.backAt > m_now)
            return;
        const int id = it.id;
        it = {m_nextServer++, m_now + between(2000, 5000), 0};
        for (std::size_t n = 0; n < m_runs.size();) {
            if (m_runs[n].id == id)
                breakOff(n);
            else
                ++n;
        }
    }

    /// Returns the position of the next run.
    std::size_t advance(std::size_t at)
    {
        Run &run = m_runs[at];
        if (m_now < run.beginsAt)
            return at + 1;
        if (run.request.isDeadly) {
            if (++ended == 5)
                m_fifthEnd = m_now;
            crash(run.place);
            return 0;
        }
        Host &host = m_hosts[run.request.host];
        host.life.responses[server(run.id)] = m_now;
        const bool isWhole = m_now >= run.endsAt;
        if (!run.isProved && (isWhole || m_now - run.beginsAt >= CrashingParts::proofTime)) {
            run.isProved = true;
            host.parts.recordSound(run.request.parts, run.beginsAt, m_now);
        }
        if (!isWhole)
            return at + 1;
        m_runs.erase(m_runs.begin() + static_cast<std::ptrdiff_t>(at));
        return at;
    }

    void report()
    {
        const auto ticks = static_cast<std::size_t>((m_now - start) / tick);
        const auto interval = static_cast<std::size_t>(m_load.reportInterval / tick);
        for (std::size_t from = 0; from < m_hosts.size(); ++from) {
            if ((ticks + from * 7) % interval != 0)
                continue;
            m_hosts[from].parts.advance(m_now);
            const std::vector<PartReport> reports = m_hosts[from].parts.recent(m_now);
            for (std::size_t to = 0; to < m_hosts.size(); ++to) {
                if (to != from && pick(10) > 0)
                    m_hosts[to].parts.apply(reports, m_now);
            }
        }
    }

    Load m_load;
    std::mt19937 m_random;
    std::array<Host, 8> m_hosts;
    std::vector<Server> m_servers;
    std::vector<Run> m_runs;
    Base::TimePoint m_now;
    Base::TimePoint m_hostsBackAt = start - stableWindow;
    std::optional<Base::TimePoint> m_fifthEnd;
    std::uint64_t m_own = 1'000'000;
    int m_nextServer = 0;
};

} // namespace

// Guards against requests that end one server after the other with a part that they share.
// Guards against sound requests that are refused for a part of one request that is repeated.
TEST_CASE("the parts of one request that ends servers are not blamed", "[routing]")
{
    Host host;
    for (int n = 0; n < 8; ++n) {
        const Base::TimePoint at = start + seconds(n);
        host.parts.recordEnd(prompt({7}, 70), {server(n), at - milliseconds(100), at, false, 5},
                             at);
    }
    CHECK_FALSE(host.isBlocked(7, start + seconds(10)));
}

TEST_CASE("a part under which three servers ended is blocked at all hosts", "[routing]")
{
    Host a;
    Host b;
    a.parts.recordSound(prompt({common}, 1), start - seconds(9), start);
    for (int n = 1; n <= 3; ++n) {
        Host &host = n == 2 ? b : a;
        host.end(prompt({common, deadly}, 100 + std::uint64_t(n)), n,
                 start + n * milliseconds(500));
    }
    Base::TimePoint now = start + milliseconds(1600);
    b.parts.apply(a.parts.recent(now), now);
    a.parts.apply(b.parts.recent(now), now);
    // The last server may yet prove to live.
    CHECK(a.isBlocked(deadly, now));
    CHECK(a.parts.blocked(now) == 0);
    CHECK(a.parts.isSuspect(prompt({deadly}, 7), now));
    now += milliseconds(100);
    CHECK(a.isBlocked(deadly, now));
    CHECK(b.isBlocked(deadly, now));
    CHECK(a.parts.takeNewlyBlocked() == std::vector<std::uint64_t>{deadly});
    CHECK_FALSE(a.isBlocked(common, now + seconds(30)));
    CHECK_FALSE(b.isBlocked(common, now + seconds(30)));
    // The last part of a prompt belongs to its request alone.
    CHECK_FALSE(a.parts.blockedPart(prompt({}, deadly), now));
    // A host that has just started learns it with its first report.
    Host c;
    now += seconds(30);
    c.parts.apply(a.parts.recent(now), now);
    CHECK(c.isBlocked(deadly, now));
}

// Guards against parts that are blocked for ever, or open for many ends after each block.
TEST_CASE("a block ends, and one further end brings it back", "[routing]")
{
    Host host;
    for (int n = 1; n <= 3; ++n)
        host.end(prompt({deadly}, std::uint64_t(n)), n, start + n * seconds(1));
    Base::TimePoint now = start + seconds(4);
    REQUIRE(host.isBlocked(deadly, now));
    now += CrashingParts::blockTime;
    host.parts.advance(now);
    CHECK_FALSE(host.isBlocked(deadly, now));
    SECTION("the next server ends too")
    {
        host.end(prompt({deadly}, 9), 9, now);
        CHECK(host.isBlocked(deadly, now + milliseconds(200)));
    }
    SECTION("the next request is answered")
    {
        host.parts.recordSound(prompt({deadly}, 9), now, now);
        host.end(prompt({deadly}, 9), 9, now + seconds(1));
        CHECK_FALSE(host.isBlocked(deadly, now + seconds(2)));
    }
}

// Guards against sound parts that are blocked for ends that no request caused.
TEST_CASE("ends that no part explains block nothing", "[routing]")
{
    Host host;
    const std::vector<PromptPart> some = prompt({common, 2}, 3);
    const Base::TimePoint later = start + seconds(9);
    SECTION("the servers end together")
    {
        for (int n = 1; n <= 8; ++n)
            host.end(some, n, start + n * milliseconds(3));
    }
    SECTION("only connections broke")
    {
        for (int n = 1; n <= 8; ++n) {
            host.end(some, n, start + n * seconds(1));
            host.life.responses[server(n)] = start + n * seconds(1) + milliseconds(140);
        }
    }
    SECTION("the servers are silent and in service")
    {
        for (int n = 1; n <= 8; ++n)
            host.end(some, n, start + n * seconds(1), true);
    }
    SECTION("the parts are answered in between")
    {
        for (int n = 1; n <= 8; ++n) {
            host.end(some, n, start + n * seconds(1));
            if (n % 2 == 0)
                host.parts.recordSound(some, start + n * seconds(1) + milliseconds(1), later);
        }
    }
    CHECK_FALSE(host.isBlocked(common, later));
    CHECK_FALSE(host.isBlocked(2, later));
}

// Guards against a list that callers can fill to have a deadly part forgotten.
TEST_CASE("many parts do not displace a blocked one", "[routing]")
{
    Host host;
    for (int n = 1; n <= 3; ++n)
        host.end(prompt({deadly}, std::uint64_t(n)), n, start + n * seconds(1));
    const Base::TimePoint now = start + seconds(4);
    REQUIRE(host.isBlocked(deadly, now));
    for (std::uint64_t n = 1000; n < 6000; ++n)
        host.end(prompt({n}, 1), int(n), now);
    CHECK(host.isBlocked(deadly, now));
    CHECK(host.parts.recent(now).size() <= 192);
}

// Guards against more than three sends of a deadly part, and against sound requests refused for it.
TEST_CASE("a fleet blocks the deadly part and no part of many sound requests", "[routing][parts]")
{
    rc::prop("any rates and report intervals", [] {
        Fleet::Load load;
        load.sound = *rc::gen::inRange(10, 80);
        load.deadly = *rc::gen::inRange(2, 11);
        load.reportInterval = milliseconds(5 * *rc::gen::inRange(20, 101));
        Fleet fleet(*rc::gen::arbitrary<std::uint32_t>(), load);
        fleet.run(seconds(40));
        RC_LOG() << "ended " << fleet.ended << ", sent late " << fleet.sentLate
                 << ", sound refused " << fleet.soundRefused << " of " << fleet.soundAsked
                 << ", parts blocked " << fleet.blocked(fleet.now());
        RC_ASSERT(fleet.ended >= 3);
        RC_ASSERT(fleet.sentLate <= 3);
        RC_ASSERT(!fleet.isFrequentBlocked);
        RC_ASSERT(fleet.soundRefused * 50 <= fleet.soundAsked);
    });
}

// Guards against hosts that end themselves when servers end under two parts that come together.
TEST_CASE("two parts under which the same four servers ended are both blocked",
          "[routing][tiedparts]")
{
    Host host;
    for (int n = 1; n <= 4; ++n)
        host.end(prompt({deadly, deadly + 1}, std::uint64_t(n)), n, start + n * seconds(1));
    const Base::TimePoint now = start + seconds(5);
    CHECK(host.isBlocked(deadly, now));
    CHECK(host.isBlocked(deadly + 1, now));
    CHECK_FALSE(host.isBlocked(common, now));
}

// Guards against a deadly part that reaches servers anew each time all hosts were killed, and
// against a sound part that is blocked since they forgot that it is sound.
TEST_CASE("a fleet that was killed whole blocks the deadly part and no part of many requests",
          "[routing][killedparts]")
{
    rc::prop("any rates, and one to three kills", [] {
        Fleet::Load load;
        load.sound = *rc::gen::inRange(10, 80);
        load.deadly = 0.5 * *rc::gen::inRange(1, 21);
        load.reportInterval = milliseconds(5 * *rc::gen::inRange(20, 101));
        const int kills = *rc::gen::inRange(1, 4);
        for (int n = 1; n <= kills; ++n)
            load.kills.emplace_back(13 * n);
        Fleet fleet(*rc::gen::arbitrary<std::uint32_t>(), load);
        fleet.run(seconds(55));
        RC_LOG() << "ended " << fleet.ended << ", sent late " << fleet.sentLate
                 << ", sound refused late " << fleet.soundRefusedLate << " of "
                 << fleet.soundAskedLate;
        RC_ASSERT(fleet.sentLate <= 3);
        RC_ASSERT(fleet.soundAskedLate < 20 || 2 * fleet.soundRefusedLate <= fleet.soundAskedLate);
    });
}

// Guards against parts that are blocked when servers end for reasons of their own.
TEST_CASE("a fleet whose servers end for other reasons blocks no part of many requests",
          "[routing][parts]")
{
    rc::prop("crashes, loss of power and broken answers", [] {
        Fleet::Load load;
        load.sound = *rc::gen::inRange(10, 80);
        load.reportInterval = milliseconds(5 * *rc::gen::inRange(20, 101));
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            load.crashes = 0.1 * *rc::gen::inRange(1, 10);
            break;
        case 1:
            load.powerLoss = *rc::gen::inRange(2, 9);
            load.powerLossStep = milliseconds(5 * *rc::gen::inRange(0, 41));
            break;
        default:
            load.brokenAnswers = 0.5 * *rc::gen::inRange(1, 10);
            break;
        }
        Fleet fleet(*rc::gen::arbitrary<std::uint32_t>(), load);
        fleet.run(seconds(40));
        RC_LOG() << "sound refused " << fleet.soundRefused << " of " << fleet.soundAsked
                 << ", parts blocked " << fleet.blocked(fleet.now());
        RC_ASSERT(!fleet.isFrequentBlocked);
        // A part of a few requests may meet three ends by chance.
        RC_ASSERT(fleet.blocked(fleet.now()) <= 1U);
        RC_ASSERT(fleet.soundRefused * 200 <= fleet.soundAsked);
    });
}
