#include "gateway/fleetview.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};
/// Of the servers that hosts know.
constexpr std::uint64_t fingerprint = 77;

MemberState member(const std::string &host, const std::string &zone = "z")
{
    return {Base::HostId(host),
            Base::ZoneId(zone),
            host + ":7000",
            host + ":8000",
            false,
            true,
            false,
            250,
            30};
}

HostReport report(const std::string &host, std::uint64_t sequence)
{
    HostReport it;
    it.self = member(host);
    it.incarnation = 5;
    it.sequence = sequence;
    it.load.servers[Base::ServerId("s")] = {3, 700};
    it.load.asked[Base::CustomerId("c")] = 90;
    it.load.received[Base::CustomerId("c")] = 40;
    it.load.begun[Base::CustomerId("c")] = 30;
    it.load.partUses = {{Base::ServerId("s"), 0xffffffffffffffffULL}};
    return it;
}

/// Returns the caller addresses of the other hosts that may be named to callers.
std::vector<std::string> servingAddresses(const FleetView &view, Base::TimePoint now)
{
    std::vector<std::string> addresses;
    for (const MemberState &it : view.servingMembers(now))
        addresses.push_back(it.callerAddress);
    return addresses;
}

FleetView viewOf(const std::string &host, const std::string &zone = "z")
{
    return {Base::HostId(host), Base::ZoneId(zone)};
}

/// Hosts of several zones that exchange their due reports every 200 ms. Hosts may be down.
class SimulatedFleet
{
    struct Host;

public:
    SimulatedFleet(int zones, int hostsOfZone)
    {
        std::vector<HostRow> &rows = m_rows;
        for (int zone = 0; zone < zones; ++zone) {
            for (int i = 0; i < hostsOfZone; ++i) {
                const std::string name = std::to_string(zone) + "-" + std::to_string(i + 100);
                m_hosts.push_back({member(name, std::to_string(zone)), {}, 1, 100, false, {}, 0});
                m_byAddress[m_hosts.back().self.peerAddress] = m_hosts.size() - 1;
                rows.push_back({m_hosts.back().self.host, m_hosts.back().self.zone,
                                m_hosts.back().self.peerAddress});
            }
        }
        for (Host &host : m_hosts) {
            host.view = std::make_unique<FleetView>(host.self.host, host.self.zone);
            host.view->addHostRows(rows, start);
        }
    }

    void step(Base::TimePoint now)
    {
        m_now = now;
        m_datagrams = 0;
        m_sentUses = 0;
        for (Host &host : m_hosts) {
            host.sentBytes = 0;
            if (!host.isDown)
                sendDue(host, now);
        }
        for (Host &host : m_hosts) {
            host.view->updateTotals(now);
            host.view->advance(now);
        }
    }

    /// Returns the datagrams that all hosts would send now, before any of them has arrived.
    std::size_t dueDatagrams()
    {
        std::size_t n = 0;
        for (const Host &host : m_hosts) {
            for (const DueReport &order : host.view->dueReports(m_now))
                n += order.receivers.size();
        }
        return n;
    }

    /// Like step(), but each host reports at its own time within the 200 ms.
    void stepStaggered(Base::TimePoint now)
    {
        constexpr std::size_t turns = 4;
        for (std::size_t turn = 0; turn < turns; ++turn) {
            m_now = now + turn * milliseconds(50);
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                if (m_hosts[i].isDown || i * 7 % turns != turn)
                    continue;
                sendDue(m_hosts[i], m_now);
                m_hosts[i].view->updateTotals(m_now);
                m_hosts[i].view->advance(m_now);
            }
        }
    }

    void sendDue(Host &host, Base::TimePoint now)
    {
        Routing::HostLoad own;
        own.servers[Base::ServerId("s")] = {1, 10};
        own.asked[Base::CustomerId("c")] = askedOfHost;
        own.received[Base::CustomerId("c")] = 5;
        own.partUses = std::exchange(host.newUses, {});
        for (int i = 0; i < host.work; ++i) {
            const std::string name = host.self.host.value() + "-" + std::to_string(i);
            own.servers[Base::ServerId(name)] = {1, 500};
            own.asked[Base::CustomerId(name)] = 900;
        }
        for (const DueReport &order : host.view->dueReports(now)) {
            HostReport it;
            it.self = host.self;
            it.incarnation = host.incarnation;
            it.sequence = ++host.sequence;
            it.scope = order.scope;
            it.load = own;
            host.view->addOtherHosts(it, order.receivers, now);
            host.view->addRelayedUses(it);
            if (order.scope == ReportScope::Host)
                host.view->recordSentReport(it.sequence, own, now);
            m_sentUses += it.load.partUses.size() * order.receivers.size();
            if (m_isCountingBytes)
                host.sentBytes += encodeReport(it).size() * order.receivers.size();
            for (const std::string &address : order.receivers)
                deliver(address, it, now);
        }
    }

    void deliver(const std::string &address, const HostReport &it, Base::TimePoint now)
    {
        ++m_datagrams;
        if (m_lossPercent > 0
            && std::uniform_int_distribution<int>(0, 99)(m_random) < m_lossPercent)
            return;
        const auto found = m_byAddress.find(address);
        if (found != m_byAddress.end() && !m_hosts[found->second].isDown) {
            Host &host = m_hosts[found->second];
            if (host.view->receive(it, now))
                host.receivedUses += it.load.partUses.size();
            return;
        }
    }

    /// Host \a i sends \a count new prompt parts to servers.
    void use(std::size_t i, std::uint64_t count)
    {
        for (std::uint64_t part = 0; part < count; ++part)
            m_hosts[i].newUses.push_back({Base::ServerId("s"), part});
    }
    std::size_t receivedUses(std::size_t i) const { return m_hosts[i].receivedUses; }
    /// Returns the number of uses that all hosts sent to all others in the last step.
    std::size_t sentUses() const { return m_sentUses; }

    /// From now on, counts the bytes that each host sends, which takes most of the time of a step.
    void countBytes() { m_isCountingBytes = true; }
    /// Returns the bytes that host \a i sent in the last step.
    std::size_t sentBytes(std::size_t i) const { return m_hosts[i].sentBytes; }

    FleetView &view(std::size_t i) { return *m_hosts[i].view; }
    MemberState &self(std::size_t i) { return m_hosts[i].self; }
    /// Host \a i has \a n requests at as many servers, and one of each of as many customers.
    void setWork(std::size_t i, int n) { m_hosts[i].work = n; }
    /// Sets whether the store rejects host \a i.
    void setStoreLost(std::size_t i, bool isLost)
    {
        m_hosts[i].self.isStoreLost = isLost;
        m_hosts[i].view->setStoreLost(isLost, m_now);
    }
    void setLeaving(std::size_t i)
    {
        m_hosts[i].self.isLeaving = true;
        m_hosts[i].view->setLeaving(m_now);
    }
    void setDown(std::size_t i, bool isDown) { m_hosts[i].isDown = isDown; }
    bool isDown(std::size_t i) const { return m_hosts[i].isDown; }
    /// Restarts host \a i, which then only knows the hosts that the store lists.
    void restart(std::size_t i)
    {
        Host &host = m_hosts[i];
        host.isDown = false;
        host.self.isLeaving = false;
        ++host.incarnation;
        host.view = std::make_unique<FleetView>(host.self.host, host.self.zone);
        host.view->addHostRows(m_rows, m_now);
    }
    /// From now on, \a percent of the datagrams are lost at random.
    void setLoss(int percent, std::uint32_t seed)
    {
        m_lossPercent = percent;
        m_random.seed(seed);
    }
    /// Tokens that the customer requests from each host.
    static constexpr double askedOfHost = 10;
    Base::TimePoint now() const { return m_now; }
    std::size_t datagrams() const { return m_datagrams; }
    std::size_t size() const { return m_hosts.size(); }

private:
    struct Host
    {
        MemberState self;
        std::unique_ptr<FleetView> view;
        Base::Incarnation incarnation = 1;
        std::uint64_t sequence = 0;
        bool isDown = false;
        std::vector<Routing::PartUse> newUses;
        std::size_t receivedUses = 0;
        std::size_t sentBytes = 0;
        int work = 0;
    };

    std::vector<Host> m_hosts;
    std::map<std::string, std::size_t> m_byAddress;
    std::vector<HostRow> m_rows;
    bool m_isCountingBytes = false;
    int m_lossPercent = 0;
    std::mt19937 m_random;
    std::size_t m_datagrams = 0;
    std::size_t m_sentUses = 0;
    Base::TimePoint m_now = start;
};

/// The worst values that hosts that are up had of the fleet during some time. Sums are ratios to
/// the true sum.
struct WorstView
{
    double least = 1;
    double most = 1;
    std::size_t leastHosts = 1000;
    std::size_t leastNamed = 1000;
};

/// Runs the fleet for \a time and returns the worst view. The view of host \a starting is left out.
WorstView runFor(SimulatedFleet &hosts, Base::Milliseconds time,
                 std::optional<std::size_t> starting = {})
{
    WorstView worst;
    for (Base::Milliseconds age{0}; age < time; age += milliseconds(200)) {
        hosts.stepStaggered(hosts.now() + milliseconds(50));
        double up = 0;
        for (std::size_t i = 0; i < hosts.size(); ++i)
            up += hosts.isDown(i) ? 0 : 1;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (hosts.isDown(i) || i == starting)
                continue;
            const Routing::PeerLoad &others = hosts.view(i).others();
            const auto asked = others.asked.find(Base::CustomerId("c"));
            const double sum =
                SimulatedFleet::askedOfHost + (asked == others.asked.end() ? 0 : asked->second);
            worst.least = std::min(worst.least, sum / (up * SimulatedFleet::askedOfHost));
            worst.most = std::max(worst.most, sum / (up * SimulatedFleet::askedOfHost));
            worst.leastHosts = std::min(worst.leastHosts, others.hosts);
            worst.leastNamed =
                std::min(worst.leastNamed, hosts.view(i).servingMembers(hosts.now()).size());
        }
    }
    return worst;
}

/// Half of the true sum admits twice a customer's share, which is the most that a moment without
/// one of the four zones and some lost reports may cost. A zone that is counted twice gives 1.25.
void checkWorstView(const WorstView &worst, std::size_t hosts)
{
    CHECK(worst.least > 0.5);
    CHECK(worst.most < 1.2);
    CHECK(worst.leastHosts > hosts / 2);
    CHECK(worst.leastNamed > hosts / 2);
}

/// Returns a fleet of 32 hosts in four zones that has been running for a while and loses one report
/// in ten.
std::unique_ptr<SimulatedFleet> settledFleet(std::uint32_t seed)
{
    auto hosts = std::make_unique<SimulatedFleet>(4, 8);
    runFor(*hosts, seconds(4));
    hosts->setLoss(10, seed);
    checkWorstView(runFor(*hosts, seconds(4)), hosts->size());
    return hosts;
}

} // namespace

TEST_CASE("a report survives encoding and decoding, and no bytes crash the decoder", "[gateway]")
{
    HostReport before = report("a", 1);
    before.scope = ReportScope::Fleet;
    before.store = {7,  8,  9, {}, milliseconds(900), milliseconds(300), {Base::ZoneId("y")},
                    31, {}, 0, 0};
    before.store.versions = {{{"pool", "v1"}, milliseconds(700)}};
    before.store.serverChanges = {{Routing::ServerChange::Kind::Leaving, {}},
                                  {Routing::ServerChange::Kind::Found,
                                   {Base::ServerId("t@9"),
                                    {"t", milliseconds(9)},
                                    "pool",
                                    "1.2.3.4:5",
                                    Base::ZoneId("z"),
                                    "v1.1",
                                    64,
                                    false,
                                    milliseconds(40)}}};
    before.load.serviceUses["app"] = {90, 70};
    before.load.servers[Base::ServerId("t@9")] = {3, 2000, {1230, 900}};
    before.load.servers[Base::ServerId("u@9")] = {1, 400};
    before.echoes[Base::HostId("b")] = 12;
    before.members = {member("c"), member("d", "y")};
    before.crashes = {{{Base::CustomerId("c"), 1ULL << 63},
                       Base::ServerId("t@9"),
                       milliseconds(120),
                       milliseconds(20),
                       true},
                      {{Base::CustomerId("c"), 5}, {}, {}, milliseconds(30), false}};
    using PartKind = Routing::PartReport::Kind;
    before.parts = {{1ULL << 63, PartKind::End, Base::ServerId("t@9"), milliseconds(120),
                     milliseconds(20), true, 1ULL << 63},
                    {6, PartKind::Sound, {}, {}, milliseconds(900), false},
                    {7, PartKind::Blocked, {}, {}, milliseconds(90'000), false}};
    before.streams = {{{"pool", "v1"}, {1ULL << 63, 7}}, {{"pool", "v2"}, {}}};
    const Routing::RolloutOrder order{"app", "v2", Base::Milliseconds(20000), 31};
    before.store.rollouts = {order};
    before.store.rolloutsVersion = 33;
    before.store.operatorVersion = 35;
    RolloutReport rollout;
    rollout.state = {order,
                     Routing::RolloutPhase::Moving,
                     {"v1"},
                     Base::Milliseconds(51000),
                     Base::Milliseconds(61000),
                     40};
    rollout.confirmedAge = Base::Milliseconds(120);
    before.rollouts = {rollout};
    Routing::RolloutEvidence evidence;
    evidence.service = "app";
    evidence.orderRevision = 31;
    evidence.requests = 900;
    evidence.exposed = 40;
    evidence.runningBefore = 3;
    evidence.routes["r"].before.add({false, 2.5, 11.0});
    evidence.routes["r"].after.add({true, 0, std::nullopt});
    before.rolloutEvidence = {evidence};
    const auto after = decodeReport(encodeReport(before));
    REQUIRE(after);
    CHECK(*after == before);
    // Sums of start times that are too large to be written again are cut.
    HostReport large = before;
    large.load.servers[Base::ServerId("t@9")].starts = {1e18, 1e18};
    const auto cut = decodeReport(encodeReport(large));
    REQUIRE(cut);
    CHECK(cut->load.servers.at(Base::ServerId("t@9")).starts == Routing::StartTimes{1e7, 1e7});
    // An array of more elements than there is memory for: the library throws whatever it was asked
    // to do.
    CHECK_FALSE(decodeReport("\x9B"
                             "aaaaaaaa"));
    rc::prop("any bytes", [](const std::string &bytes) { (void)decodeReport(bytes); });
    rc::prop("a report with one byte changed", [&] {
        std::string bytes = encodeReport(before);
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        (void)decodeReport(bytes);
    });
}

TEST_CASE("a host that is silent is not named to callers and its load does not count", "[gateway]")
{
    FleetView view = viewOf("self");
    view.receive(report("a", 1), start);
    view.receive(report("b", 1), start + seconds(1));
    view.updateTotals(start + seconds(1));
    CHECK(servingAddresses(view, start + seconds(1)).size() == 2);
    CHECK(view.others().servers.at(Base::ServerId("s")).running == 6);
    CHECK(view.others().hosts == 3);
    const Base::TimePoint later = start + milliseconds(1500);
    view.updateTotals(later);
    CHECK(servingAddresses(view, later) == std::vector<std::string>{"b:8000"});
    CHECK(view.others().servers.at(Base::ServerId("s")).running == 3);
    CHECK(view.others().received.at(Base::CustomerId("c")) == 40);
    CHECK(view.others().begun.at(Base::CustomerId("c")) == 30);
    // Both ends of a broken link keep trying for a while.
    CHECK(view.dueReports(later).front().receivers.size() == 2);
    view.advance(start + seconds(60));
    CHECK(view.dueReports(start + seconds(60)).front().receivers.empty());
}

TEST_CASE("hosts that leave or cannot serve are not named while others can serve", "[gateway]")
{
    FleetView view = viewOf("self");
    HostReport leaving = report("a", 1);
    leaving.self.isLeaving = true;
    HostReport notServing = report("b", 1);
    notServing.self.isServing = false;
    view.receive(leaving, start);
    view.receive(notServing, start);
    CHECK(servingAddresses(view, start) == std::vector<std::string>{"b:8000"});
    view.receive(report("c", 1), start);
    CHECK(servingAddresses(view, start) == std::vector<std::string>{"c:8000"});
}

TEST_CASE("a late report of an earlier start or sequence is ignored", "[gateway]")
{
    FleetView view = viewOf("self");
    CHECK(view.receive(report("a", 7), start));
    HostReport old = report("a", 6);
    old.self.isLeaving = true;
    CHECK_FALSE(view.receive(old, start));
    CHECK(servingAddresses(view, start).size() == 1);
    HostReport restarted = report("a", 1);
    restarted.incarnation = 6;
    restarted.self.isLeaving = true;
    CHECK(view.receive(restarted, start));
    CHECK(servingAddresses(view, start).empty());
    // A host's own report, sent back by a wrong address, is not one of another host.
    CHECK_FALSE(view.receive(report("self", 1), start));
    CHECK(view.liveHosts(start) == 2);
}

TEST_CASE("the age of a proof counts from when the echoed report was sent", "[gateway]")
{
    // Guards against the use of a revoked key by a host that wakes from a suspension and reads a
    // datagram of before the suspension that says "current as of a second ago". This happens if the
    // age of a proof is counted from when the datagram is read.
    FleetView view = viewOf("self");
    view.recordSentReport(41, {}, start);
    view.recordSentReport(42, {}, start + seconds(1));
    HostReport proof = report("a", 1);
    CHECK_FALSE(view.echoedSendTime(proof));
    proof.echoes[Base::HostId("self")] = 41;
    CHECK(view.echoedSendTime(proof) == start);
    proof.echoes[Base::HostId("self")] = 42;
    CHECK(view.echoedSendTime(proof) == start + seconds(1));
    // The sequence belongs to another start of this host, so it proves nothing.
    proof.echoes[Base::HostId("self")] = 7;
    CHECK_FALSE(view.echoedSendTime(proof));
}

// Guards against streams that go on at another version at a host that is cut off from those that
// know it, and against streams that end with the store though all hosts agree.
TEST_CASE("hosts agree on the servers only if every one has said so since", "[gateway]")
{
    FleetView view = viewOf("self");
    const auto receive = [&](const std::string &host, std::uint64_t sequence, std::uint64_t echoed,
                             std::uint64_t servers = fingerprint) {
        HostReport it = report(host, sequence);
        it.echoes[Base::HostId("self")] = echoed;
        it.store.serversFingerprint = servers;
        view.receive(it, start + seconds(2));
    };
    view.recordSentReport(41, {}, start);
    view.recordSentReport(42, {}, start + seconds(1));
    const Base::TimePoint now = start + seconds(2);
    // A host that knows no other one may be cut off from all of them.
    CHECK_FALSE(view.agreedSince(fingerprint, now));
    receive("a", 1, 42);
    CHECK(view.agreedSince(fingerprint, now) == start + seconds(1));
    receive("b", 1, 41);
    CHECK(view.agreedSince(fingerprint, now) == start);
    receive("b", 2, 42, fingerprint + 1);
    CHECK_FALSE(view.agreedSince(fingerprint, now));
    receive("b", 3, 42);
    CHECK(view.agreedSince(fingerprint, now) == start + seconds(1));
    // A host that has gone silent may know other servers for as long as it may be running.
    CHECK(view.agreedSince(fingerprint, now + seconds(40)) == start + seconds(1));
    view.addHostRows({{Base::HostId("c"), Base::ZoneId("z"), "c:7000"}}, now);
    CHECK_FALSE(view.agreedSince(fingerprint, now));
    CHECK(view.agreedSince(fingerprint, now + seconds(46)) == std::nullopt);
}

TEST_CASE("hosts that have lost the store tell all others what they have heard from them",
          "[gateway]")
{
    FleetView view = viewOf("self", "z");
    HostReport other = report("a", 7);
    other.self.zone = Base::ZoneId("y");
    view.receive(other, start);
    view.receive(report("b", 9), start);
    HostReport own;
    view.addOtherHosts(own, {}, start);
    CHECK_FALSE(own.echoes.contains(Base::HostId("a")));
    view.setStoreLost(true, start);
    view.addOtherHosts(own, {}, start);
    CHECK(own.echoes.at(Base::HostId("a")) == 7);
    CHECK(own.echoes.at(Base::HostId("b")) == 9);
}

TEST_CASE("in a large fleet every host knows the whole load with few datagrams", "[gateway]")
{
    SimulatedFleet hosts(4, 16);
    Base::TimePoint now = start;
    for (int i = 0; i < 20; ++i)
        hosts.step(now += milliseconds(200));
    // Each host sends a report, each host receives a summary, and the leaders exchange theirs.
    CHECK(hosts.datagrams() < 64 + 64 + 16);
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        CHECK(hosts.view(i).liveHosts(now) == 64);
        CHECK(servingAddresses(hosts.view(i), now).size() == 63);
        CHECK(hosts.view(i).others().servers.at(Base::ServerId("s")).running == 63);
        CHECK(hosts.view(i).others().received.at(Base::CustomerId("c")) == 63 * 5);
    }
    std::size_t leaders = 0;
    for (std::size_t i = 0; i < hosts.size(); ++i)
        leaders += hosts.view(i).isLeader(now) ? 1 : 0;
    CHECK(leaders == 4);
}

TEST_CASE("a zone gets another leader after its leader has been silent", "[gateway]")
{
    // The leader of a zone loses power. Its zone works with old loads for two seconds; then the
    // next host by name sends summaries, and no host counts the lost one any more.
    SimulatedFleet hosts(4, 16);
    Base::TimePoint now = start;
    for (int i = 0; i < 20; ++i)
        hosts.step(now += milliseconds(200));
    REQUIRE(hosts.view(0).isLeader(now));
    hosts.setDown(0, true);
    for (int i = 0; i < 18; ++i)
        hosts.step(now += milliseconds(200));
    CHECK(hosts.view(1).isLeader(now));
    for (std::size_t i = 1; i < hosts.size(); ++i) {
        CHECK(hosts.view(i).liveHosts(now) == 63);
        CHECK(hosts.view(i).others().servers.at(Base::ServerId("s")).running == 62);
    }
    hosts.setDown(0, false);
    for (int i = 0; i < 20; ++i)
        hosts.step(now += milliseconds(200));
    CHECK(hosts.view(0).isLeader(now));
    CHECK_FALSE(hosts.view(1).isLeader(now));
    CHECK(hosts.view(40).liveHosts(now) == 64);
}

TEST_CASE("a use of a prompt part is sent to each host of a large fleet once", "[gateway]")
{
    // Guards against leaders that relay to other leaders what they have received from them. The
    // uses then circulate and triple in number each time, until they fill the reports, keep dropped
    // parts from being forgotten and leave no room for new uses. Callers of a large fleet then wait
    // long, since servers read prompt parts again that other servers hold.
    SimulatedFleet hosts(4, 16);
    Base::TimePoint now = start;
    for (int i = 0; i < 20; ++i)
        hosts.step(now += milliseconds(200));
    const std::size_t user = 20;
    hosts.use(user, 3);
    for (int i = 0; i < 10; ++i)
        hosts.step(now += milliseconds(200));
    CHECK(hosts.sentUses() == 0);
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        // Its own uses come back to a host with the summary for its zone.
        CHECK(hosts.receivedUses(i) == 3);
    }
}

TEST_CASE("a host that the store rejects does not lead its zone", "[gateway]")
{
    // The store rejects a third of the hosts for nine seconds, among them the leader of a zone.
    // Guards against a leader that stays the first host by name: all hosts of its zone would call
    // the store themselves, about seven times a second each, and those that the store rejects would
    // refuse requests.
    SimulatedFleet hosts(2, 16);
    Base::TimePoint now = start;
    for (int i = 0; i < 10; ++i)
        hosts.step(now += milliseconds(200));
    REQUIRE(hosts.view(0).isLeader(now));
    hosts.setStoreLost(0, true);
    hosts.setStoreLost(1, true);
    for (int i = 0; i < 4; ++i)
        hosts.step(now += milliseconds(200));
    for (std::size_t i = 0; i < 16; ++i)
        CHECK(hosts.view(i).isLeader(now) == (i == 2));
    CHECK(hosts.view(0).others().servers.at(Base::ServerId("s")).running == 31);
    // With the store down for all hosts, there still is one leader, and summaries continue.
    for (std::size_t i = 0; i < 16; ++i)
        hosts.setStoreLost(i, true);
    for (int i = 0; i < 4; ++i)
        hosts.step(now += milliseconds(200));
    for (std::size_t i = 0; i < 16; ++i)
        CHECK(hosts.view(i).isLeader(now) == (i == 0));
}

TEST_CASE("the work of another zone counts once while its leader changes", "[gateway]")
{
    // Guards against work of a zone that counts twice elsewhere for up to two seconds when its
    // leader changes. This happens if the summaries of both leaders are added up, or the reports
    // that hosts of the zone announce to all hosts are added to them.
    FleetView view = viewOf("self");
    const auto otherZone = [](const std::string &host, ReportScope scope, double asked) {
        HostReport it = report(host, 1);
        it.self.zone = Base::ZoneId("y");
        it.scope = scope;
        it.load.asked[Base::CustomerId("c")] = asked;
        return it;
    };
    const auto asked = [&view](Base::TimePoint now) {
        view.updateTotals(now);
        HostReport fleet;
        fleet.scope = ReportScope::Fleet;
        view.addOtherHosts(fleet, {}, now);
        CHECK(view.others().asked == fleet.load.asked);
        return fleet.load.asked[Base::CustomerId("c")];
    };
    view.receive(otherZone("y1", ReportScope::Host, 7), start);
    view.receive(otherZone("y2", ReportScope::Host, 8), start);
    // The zone has no leader that sends summaries yet.
    CHECK(asked(start) == 15);
    view.receive(otherZone("y3", ReportScope::Zone, 500), start);
    CHECK(asked(start) == 500);
    const Base::TimePoint later = start + milliseconds(200);
    view.receive(otherZone("y4", ReportScope::Zone, 600), later);
    CHECK(asked(later) == 600);
    // The former leader reports its own work only.
    HostReport former = otherZone("y3", ReportScope::Host, 30);
    former.sequence = 2;
    view.receive(former, later);
    CHECK(asked(later) == 600);
}

TEST_CASE("summaries continue while the leader of a zone is killed", "[gateway]")
{
    // Guards against hosts of a zone that admit every request for half a second after their leader
    // was killed. This happens if the summaries are discarded with the leader's last report, and
    // each host takes itself for alone and thus for the leader.
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        INFO("seed " << seed);
        const auto hosts = settledFleet(seed);
        hosts->setDown(0, true);
        checkWorstView(runFor(*hosts, seconds(5)), hosts->size());
        CHECK(hosts->view(1).isLeader(hosts->now()));
        hosts->restart(0);
        // A host that starts needs three reports to learn of the others, of which one or two may be
        // lost.
        checkWorstView(runFor(*hosts, milliseconds(600), 0), hosts->size());
        checkWorstView(runFor(*hosts, seconds(5)), hosts->size());
        CHECK(hosts->view(0).isLeader(hosts->now()));
        CHECK_FALSE(hosts->view(1).isLeader(hosts->now()));
    }
}

TEST_CASE("summaries continue while a leader and its successor are killed", "[gateway]")
{
    // Guards against a zone that reports in vain to the next leader, which was killed together with
    // the leader. This happens if the zone waits for the next host by name until the last summaries
    // are too old.
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        INFO("seed " << seed);
        const auto hosts = settledFleet(seed);
        hosts->setDown(0, true);
        hosts->setDown(1, true);
        checkWorstView(runFor(*hosts, seconds(5)), hosts->size());
        CHECK(hosts->view(2).isLeader(hosts->now()));
    }
}

TEST_CASE("summaries continue while the leader of a zone leaves", "[gateway]")
{
    // Guards against hosts of a zone that admit every request when their leader is told to stop.
    // This happens if the report by which it announces to all hosts that it is leaving replaces its
    // summaries.
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        INFO("seed " << seed);
        const auto hosts = settledFleet(seed);
        hosts->setLeaving(0);
        checkWorstView(runFor(*hosts, seconds(2)), hosts->size());
        hosts->setDown(0, true);
        checkWorstView(runFor(*hosts, seconds(5)), hosts->size());
        CHECK(hosts->view(1).isLeader(hosts->now()));
    }
}

TEST_CASE("summaries continue while the store rejects the leader of a zone", "[gateway]")
{
    // Guards against hosts of a zone that admit every request when the store rejects their leader,
    // and again when it accepts it. This happens if the leader's announcement replaces its
    // summaries, and the next leader sends summaries before it has received the reports of its
    // zone.
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        INFO("seed " << seed);
        const auto hosts = settledFleet(seed);
        hosts->setStoreLost(0, true);
        checkWorstView(runFor(*hosts, seconds(3)), hosts->size());
        CHECK(hosts->view(1).isLeader(hosts->now()));
        hosts->setStoreLost(0, false);
        checkWorstView(runFor(*hosts, seconds(3)), hosts->size());
        CHECK(hosts->view(0).isLeader(hosts->now()));
    }
}

TEST_CASE("the reports of a fleet that starts grow with its hosts and not with their square",
          "[gateway]")
{
    // Guards against a thousand hosts that start at the same moment, each of which reports to all
    // others five times a second because it does not know yet who leads.
    std::map<int, double> datagramsOfHost;
    for (const int hostsOfZone : {80, 160}) {
        CAPTURE(hostsOfZone);
        SimulatedFleet hosts(6, hostsOfZone);
        // Hosts that start together send before they have heard of anybody.
        std::size_t most = hosts.dueDatagrams();
        for (int i = 0; i < 15; ++i) {
            hosts.step(hosts.now() + milliseconds(200));
            most = std::max({most, hosts.datagrams(), hosts.dueDatagrams()});
        }
        datagramsOfHost[hostsOfZone] =
            static_cast<double>(most) / static_cast<double>(hosts.size());
        std::size_t leaders = 0;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            leaders += hosts.view(i).isLeader(hosts.now()) ? 1 : 0;
            CHECK(hosts.view(i).others().hosts == hosts.size());
        }
        CHECK(leaders == 6);
    }
    CHECK(datagramsOfHost[160] <= 1.1 * datagramsOfHost[80]);
}

TEST_CASE("a very large fleet finds leaders although the first hosts of each zone are lost",
          "[gateway]")
{
    // Guards against hosts that wait for the hosts that mostly lead, all of which are down.
    SimulatedFleet hosts(4, 90);
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (i % 90 < 10)
            hosts.setDown(i, true);
    }
    for (int i = 0; i < 50; ++i)
        hosts.step(hosts.now() + milliseconds(200));
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (!hosts.isDown(i))
            CHECK(hosts.view(i).others().hosts == 320);
    }
}

namespace {

/// A fleet of six zones in which one host in forty is strong, and two strong hosts forward.
struct ForwardingFleet
{
    explicit ForwardingFleet(int hostsOfZone)
        : hosts(6, hostsOfZone)
    {
        for (std::size_t i = 0; i < hosts.size(); ++i)
            hosts.self(i).load = 0;
        for (std::size_t i = 20; i < hosts.size(); i += 40)
            hosts.self(i).capacity = 1000;
        for (const std::size_t i : {20U, 60U}) {
            hosts.self(i).load = 200;
            hosts.setWork(i, 500);
        }
        for (int i = 0; i < 15; ++i)
            hosts.step(hosts.now() + milliseconds(200));
    }

    SimulatedFleet hosts;
};

} // namespace

TEST_CASE("what a leader sends grows with the hosts of its zone and not with their square",
          "[gateway]")
{
    // Guards against leaders that send all members and all loads to all hosts of their zones: 129
    // megabytes a second at a thousand hosts, more than a link carries.
    std::map<int, double> bytesOfReceiver;
    for (const int hostsOfZone : {80, 160, 320}) {
        CAPTURE(hostsOfZone);
        ForwardingFleet fleet(hostsOfZone);
        SimulatedFleet &hosts = fleet.hosts;
        hosts.countBytes();
        hosts.step(hosts.now() + milliseconds(200));
        REQUIRE(hosts.view(0).isLeader(hosts.now()));
        bytesOfReceiver[hostsOfZone] = static_cast<double>(hosts.sentBytes(0)) / hostsOfZone;
        for (std::size_t i = 0; i < hosts.size(); ++i)
            CHECK(hosts.view(i).others().hosts == hosts.size());
    }
    CHECK(bytesOfReceiver[160] <= 1.1 * bytesOfReceiver[80]);
    CHECK(bytesOfReceiver[320] <= 1.1 * bytesOfReceiver[160]);
}

TEST_CASE("hosts that forward know all loads in a very large fleet, and all know whom to name",
          "[gateway]")
{
    // Guards against requests that are placed without knowing what other hosts have placed, and
    // against callers that are told of weak hosts because the strong ones are not known.
    ForwardingFleet fleet(90);
    SimulatedFleet &hosts = fleet.hosts;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        CAPTURE(i);
        const Routing::PeerLoad &others = hosts.view(i).others();
        CHECK(others.possibleHosts == hosts.size());
        const bool needsLoads = hosts.self(i).load > 0 || hosts.self(i).capacity == 1000;
        if (needsLoads) {
            CHECK(others.servers.size() >= 501);
            CHECK(
                (hosts.view(i).receivesLoads(hosts.now()) || hosts.view(i).isLeader(hosts.now())));
        }
        std::size_t strong = hosts.self(i).capacity == 1000 ? 1 : 0;
        for (const MemberState &it : hosts.view(i).servingMembers(hosts.now()))
            strong += it.capacity == 1000 ? 1 : 0;
        CHECK(strong == 13);
    }
    // A weak host that a caller uses all the same learns of the loads.
    const std::size_t weak = 30;
    CHECK(hosts.view(weak).others().servers.empty());
    CHECK_FALSE(hosts.view(weak).receivesLoads(hosts.now()));
    hosts.self(weak).load = 1;
    for (int i = 0; i < 2; ++i)
        hosts.step(hosts.now() + milliseconds(200));
    CHECK(hosts.view(weak).others().servers.size() >= 1001);
    CHECK(hosts.view(weak).receivesLoads(hosts.now()));
}

TEST_CASE("the hosts of a very large zone take copies from each other in turns", "[gateway]")
{
    // Guards against hundreds of hosts that ask one host for megabytes at the same moment.
    for (const int hostsOfZone : {80, 160, 320}) {
        CAPTURE(hostsOfZone);
        SimulatedFleet hosts(6, hostsOfZone);
        const std::string leader = hosts.self(0).peerAddress;
        std::map<std::string, int> asked;
        const auto n = static_cast<std::size_t>(hostsOfZone);
        for (std::size_t i = 1; i < n; ++i) {
            const std::string source = hosts.view(i).copySource(leader, true, start);
            CHECK(source != hosts.self(i).peerAddress);
            ++asked[source];
            // A host whose source has no copy turns to the leader.
            CHECK(hosts.view(i).copySource(leader, false, start) == leader);
        }
        // Each copy of a list of ten thousand servers takes a hundredth of a second of a link.
        for (const auto &[source, count] : asked)
            CHECK(count <= 16);
    }
    SimulatedFleet few(4, 16);
    CHECK(few.view(9).copySource("announcer", true, start) == "announcer");
}
