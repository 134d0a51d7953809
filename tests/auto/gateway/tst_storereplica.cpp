#include "gateway/storereplica.h"

#include "fakestore.h"
#include "gateway/boottime.h"
#include "gateway/eventlog.h"
#include "gateway/storeintervals.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class IgnoringListener final : public StoreReplicaListener
{
public:
    void configurationApplied() override {}
    void serversChanged(const Routing::ServerChanges &, bool) override {}
    void serversRead() override {}
    void evacuationsChanged() override {}
    void rolloutOrdersChanged() override {}
    void unreadableEntriesChanged(const std::set<std::string> &) override {}
    void storeCallFinished(const char *, bool) override {}
    void leavingVersionsRead(const Routing::ServerVersions &versions) override
    {
        leavingVersions = versions;
    }
    void versionsCopied(const std::vector<Routing::VersionAge> &versions, Base::TimePoint) override
    {
        copiedVersions = versions;
    }
    std::optional<std::vector<Routing::VersionAge>> knownVersions() const override
    {
        return versions;
    }

    /// What this host knows, was told by another host, and has read itself.
    std::optional<std::vector<Routing::VersionAge>> versions;
    std::optional<std::vector<Routing::VersionAge>> copiedVersions;
    Routing::ServerVersions leavingVersions;
};

Settings::Address freeAddress(boost::asio::io_context &io)
{
    Tcp::acceptor probe(io, {boost::asio::ip::make_address_v4("127.0.0.1"), 0});
    return {"127.0.0.1", probe.local_endpoint().port()};
}

/// One host: its replica, and the reports that it would send.
class Host
{
public:
    Host(int number, const std::string &zone, const Settings::Address &store,
         boost::asio::io_context &io, const StoreProtocol &protocol, EventLog &log,
         std::string &buffer, CallerShare &share)
    {
        m_settings.host = Base::HostId("host-" + std::to_string(100 + number));
        m_settings.zone = Base::ZoneId(zone);
        m_settings.peerAddress = freeAddress(io);
        m_settings.storeAddress = store;
        m_view = std::make_unique<FleetView>(m_settings.host, m_settings.zone);
        boost::leaf::try_handle_all(
            [&]() -> Base::Result<void> {
                BOOST_LEAF_ASSIGN(replica,
                                  StoreReplica::create(m_settings, {io, protocol, *m_view, log,
                                                                    buffer, share, m_listener}));
                return {};
            },
            [] { FAIL("cannot listen"); });
    }

    HostRow row() const
    {
        return {m_settings.host, m_settings.zone, toString(m_settings.peerAddress)};
    }
    FleetView &view() { return *m_view; }
    IgnoringListener &listener() { return m_listener; }
    HostReport report(const DueReport &order, Base::TimePoint now)
    {
        HostReport it;
        it.self.host = m_settings.host;
        it.self.zone = m_settings.zone;
        it.self.peerAddress = row().peerAddress;
        it.self.isStoreLost = replica->isStoreLost(now);
        it.incarnation = 1;
        it.sequence = ++m_sequence;
        it.scope = order.scope;
        it.store = replica->storeState(now);
        m_view->addOtherHosts(it, order.receivers, now);
        if (order.scope == ReportScope::Host)
            m_view->recordSentReport(it.sequence, it.load, now);
        return it;
    }
    void receive(const HostReport &it, Base::TimePoint now)
    {
        if (m_view->receive(it, now))
            replica->applyReport(it, now);
    }

private:
    GatewaySettings m_settings;
    std::unique_ptr<FleetView> m_view;
    IgnoringListener m_listener;
    std::uint64_t m_sequence = 0;

public:
    std::unique_ptr<StoreReplica> replica;
};

/// Hosts, mostly of one zone, and their store, on one thread and loopback. Reports are delivered
/// without a network.
class StoreFleet
{
public:
    StoreFleet()
        : m_null(open("/dev/null", O_WRONLY | O_CLOEXEC))
        , m_log(m_null, 0)
        , m_storeAddress(freeAddress(m_io))
    {
        Routing::RegisteredServer server;
        server.id = Base::ServerId("s-1");
        server.start.name = "s-1";
        server.service = "pool";
        server.address = "127.0.0.1:1";
        protocol.entries = {server};
        boost::leaf::try_handle_all(
            [&]() -> Base::Result<void> {
                BOOST_LEAF_ASSIGN(m_server,
                                  HttpListener::create(m_io, m_storeAddress,
                                                       {store, m_limits, m_buffer, m_share}));
                return {};
            },
            [] { FAIL("cannot listen"); });
    }
    ~StoreFleet() { close(m_null); }
    StoreFleet(const StoreFleet &) = delete;
    StoreFleet &operator=(const StoreFleet &) = delete;

    void addHosts(int count, const std::string &zone = "z")
    {
        for (int i = 0; i < count; ++i) {
            const int number = static_cast<int>(hosts.size());
            hosts.push_back(std::make_unique<Host>(number, zone, m_storeAddress, m_io, protocol,
                                                   m_log, m_buffer, m_share));
        }
    }
    /// Lists the rows of all hosts in the store.
    void listHosts()
    {
        protocol.rows.clear();
        for (const auto &it : hosts)
            protocol.rows.push_back(it->row());
    }
    void runFor(Base::Duration time)
    {
        const Base::TimePoint end = bootTimeNow() + time;
        runUntil([&] { return bootTimeNow() >= end; }, time + seconds(1));
    }
    /// Returns false if \a condition does not become true within \a limit.
    bool runUntil(const std::function<bool()> &condition, Base::Duration limit = seconds(5))
    {
        const Base::TimePoint end = bootTimeNow() + limit;
        while (!condition()) {
            if (bootTimeNow() >= end)
                return false;
            step(bootTimeNow());
            m_io.poll();
            usleep(2000);
        }
        return true;
    }
    bool allHoldVersion(std::uint64_t version) const
    {
        return std::all_of(hosts.begin(), hosts.end(), [&](const auto &it) {
            const StoreReplica &replica = *it->replica;
            return replica.isKnown() && replica.version() == version
                   && replica.lease().isHeld(bootTimeNow()) && !replica.servers().servers().empty();
        });
    }

private:
    void step(Base::TimePoint now)
    {
        for (const auto &it : hosts)
            it->replica->advance(now);
        if (now < m_nextReport)
            return;
        m_nextReport = now + milliseconds(50);
        for (const auto &from : hosts) {
            for (const DueReport &order : from->view().dueReports(now)) {
                const HostReport report = from->report(order, now);
                for (const std::string &address : order.receivers) {
                    for (const auto &to : hosts) {
                        if (to->row().peerAddress == address)
                            to->receive(report, now);
                    }
                }
            }
        }
    }

    // Declared before the members that own sockets of it.
    CallerShare m_share;
    boost::asio::io_context m_io;
    int m_null;
    EventLog m_log;
    ConnectionLimits m_limits;
    std::string m_buffer = std::string(65536, '\0');
    Settings::Address m_storeAddress;
    std::unique_ptr<HttpListener> m_server;
    Base::TimePoint m_nextReport{};

public:
    FakeStoreProtocol protocol;
    FakeStore store;
    std::vector<std::unique_ptr<Host>> hosts;
};

/// Returns whether the replica has a list of servers for other hosts that is not empty.
bool handsOutServers(StoreReplica &replica)
{
    const std::optional<StoreCopy> copy = replica.copyOf(StoreData::Servers);
    if (!copy)
        return false;
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<bool> {
            BOOST_LEAF_AUTO(report, decodeReport(copy->text));
            return !report.store.serverChanges.empty();
        },
        [] {
            FAIL("a copy cannot be decoded");
            return false;
        });
}

} // namespace

TEST_CASE("only the hosts that read the store call it for a new configuration", "[gateway]")
{
    // Keys are revoked three times in a second. Guards against every host reading the configuration
    // each time, which happens if hosts are only told that there is a newer one. With 195 hosts
    // that took 1,200 of 6,500 calls of the store within 18 seconds, and each call and its bytes
    // have a price.
    StoreFleet zone;
    zone.addHosts(16);
    zone.listHosts();
    REQUIRE(zone.runUntil([&] { return zone.allHoldVersion(7); }));
    zone.runFor(milliseconds(300));
    zone.store.calls.clear();
    zone.store.version = 8;
    REQUIRE(zone.runUntil([&] { return zone.allHoldVersion(8); }, seconds(1)));
    // The leader's watch returned it.
    CHECK(zone.store.calls["/configuration"] <= 1);
    CHECK(zone.store.calls["/servers"] <= 3);
}

TEST_CASE("a host that the store rejects gets a new configuration from its neighbours", "[gateway]")
{
    // The store rejects a third of the hosts for nine seconds, and in that time keys are revoked.
    // Guards against hosts that answer 503 until the end of it although their neighbours know the
    // new keys, which happens if a host that is told of a newer configuration can only get it from
    // the store.
    StoreFleet zone;
    zone.addHosts(3);
    zone.listHosts();
    REQUIRE(zone.runUntil([&] { return zone.allHoldVersion(7); }));
    // The leader's watch continues, and all other calls are rejected.
    zone.store.refused["/configuration"] = true;
    zone.store.version = 8;
    // This is sooner than a host without a new proof would read the store itself.
    CHECK(zone.runUntil([&] { return zone.allHoldVersion(8); },
                        StoreIntervals().fallbackReadAge - milliseconds(400)));
}

// Guards against requests to servers of an evacuated zone from hosts that the store rejects, or
// that do not read it.
TEST_CASE("an evacuation reaches all hosts and is taken back at all hosts", "[gateway]")
{
    StoreFleet fleet;
    fleet.addHosts(14, "east");
    fleet.addHosts(2, "west");
    fleet.listHosts();
    REQUIRE(fleet.runUntil([&] { return fleet.allHoldVersion(7); }));
    fleet.runFor(milliseconds(900));
    // The watches of the leaders continue, and all other calls are rejected.
    fleet.store.refused["/configuration"] = true;
    fleet.store.refused["/servers"] = true;
    const auto allHave = [&](std::size_t zones) {
        return std::all_of(fleet.hosts.begin(), fleet.hosts.end(), [&](const auto &it) {
            return it->replica->evacuatedZones().zones().size() == zones;
        });
    };
    fleet.protocol.evacuations = {{Base::ZoneId("east"), true}};
    fleet.protocol.unchangedConfiguration = "9";
    fleet.store.version = 9;
    CHECK(fleet.runUntil([&] { return allHave(1); }, seconds(1)));
    fleet.protocol.evacuations = {{Base::ZoneId("east"), false}};
    fleet.protocol.unchangedConfiguration = "10";
    fleet.store.version = 10;
    CHECK(fleet.runUntil([&] { return allHave(0); }, seconds(1)));
}

TEST_CASE("a host that starts during an evacuation knows of it before it serves", "[gateway]")
{
    StoreFleet fleet;
    fleet.addHosts(3);
    fleet.listHosts();
    REQUIRE(fleet.runUntil([&] { return fleet.allHoldVersion(7); }));
    fleet.runFor(milliseconds(700));
    fleet.protocol.evacuations = {{Base::ZoneId("z"), true}};
    fleet.protocol.unchangedConfiguration = "9";
    fleet.store.version = 9;
    REQUIRE(fleet.runUntil(
        [&] { return fleet.hosts[2]->replica->evacuatedZones().contains(Base::ZoneId("z")); }));
    fleet.addHosts(4);
    bool servesWithoutIt = false;
    REQUIRE(fleet.runUntil([&] {
        const auto isIgnorant = [](const auto &it) {
            return it->replica->isKnown()
                   && !it->replica->evacuatedZones().contains(Base::ZoneId("z"));
        };
        servesWithoutIt |= std::any_of(fleet.hosts.begin(), fleet.hosts.end(), isIgnorant);
        return std::all_of(fleet.hosts.begin(), fleet.hosts.end(),
                           [](const auto &it) { return it->replica->isKnown(); });
    }));
    CHECK_FALSE(servesWithoutIt);
}

TEST_CASE("hosts that start beside others copy their data", "[gateway]")
{
    // Hosts are replaced in turn. Guards against starts that cost the store five calls each, which
    // is the largest part of the price of a fleet whose hosts restart 2,600 times a day.
    StoreFleet zone;
    zone.addHosts(4);
    zone.listHosts();
    REQUIRE(zone.runUntil([&] { return zone.allHoldVersion(7); }));
    zone.runFor(milliseconds(700));
    zone.store.calls.clear();
    zone.addHosts(12);
    REQUIRE(zone.runUntil([&] { return zone.allHoldVersion(7); }, seconds(1)));
    CHECK(zone.store.calls["/configuration"] == 0);
    // Each host reads the rows once. The leader continues to read the servers and keeps all rows
    // fresh.
    CHECK(zone.store.calls["/hosts"] <= 13);
    CHECK(zone.store.calls["/servers"] <= 4);
    CHECK(zone.store.calls["/row"] <= 1);
}

// Guards against streams that go on at another version at a host that has just started beside
// others.
TEST_CASE("a copy of the servers tells which versions have served", "[gateway]")
{
    const std::vector<Routing::VersionAge> versions{{{"pool", "v1"}, seconds(3)},
                                                    {{"pool", "v2"}, Base::Milliseconds(0)}};
    StoreFleet zone;
    zone.addHosts(1);
    zone.listHosts();
    REQUIRE(zone.runUntil([&] { return zone.allHoldVersion(7); }));
    zone.hosts[0]->listener().versions = versions;
    zone.runFor(milliseconds(1200));
    zone.addHosts(1);
    REQUIRE(zone.runUntil([&] { return zone.allHoldVersion(7); }));
    CHECK(zone.hosts[1]->listener().copiedVersions == versions);
    // A host that does not know all versions tells none.
    zone.hosts[0]->listener().versions.reset();
    zone.runFor(milliseconds(1200));
    zone.addHosts(1);
    REQUIRE(zone.runUntil([&] { return zone.allHoldVersion(7); }));
    CHECK_FALSE(zone.hosts[2]->listener().copiedVersions);
}

// Guards against hosts that start without a word of the servers at which open streams began.
TEST_CASE("a host that reads the store learns the versions of servers that leave", "[gateway]")
{
    StoreFleet zone;
    Routing::RegisteredServer leaving = zone.protocol.entries.front();
    leaving.id = Base::ServerId("s-2");
    leaving.start.name = "s-2";
    leaving.softwareVersion = "v0";
    leaving.isLeaving = true;
    zone.protocol.entries.push_back(leaving);
    zone.addHosts(1);
    REQUIRE(zone.runUntil([&] { return zone.allHoldVersion(7); }));
    const Routing::ServerVersions expected{{"pool", {{"v0", 1}}}};
    CHECK(zone.hosts[0]->listener().leavingVersions == expected);
    CHECK(zone.hosts[0]->replica->servers().versions().at("pool").count("v0") == 0);
}

TEST_CASE("hosts that start together find each other, and only one continues to read the store",
          "[gateway]")
{
    // A new fleet starts, and no host has a row yet. Guards against hosts that ask the store again
    // and again for a configuration that does not exist yet.
    StoreFleet zone;
    zone.store.version = 0;
    zone.addHosts(16);
    zone.runFor(milliseconds(700));
    zone.listHosts();
    zone.runFor(milliseconds(2500));
    // No host has read the configuration before the leader did, and only the leader continues.
    CHECK(zone.store.calls["/configuration"] <= 16);
    CHECK(zone.store.calls["/hosts"] <= 2 * 16);
    zone.store.version = 7;
    CHECK(zone.runUntil([&] { return zone.allHoldVersion(7); }, seconds(2)));
}

TEST_CASE("a host that gets no copy asks the store", "[gateway]")
{
    // All hosts lose power at once and their rows still exist, so the first host that is asked for
    // a copy has none. No host may wait for it.
    StoreFleet zone;
    zone.addHosts(6);
    zone.listHosts();
    CHECK(zone.runUntil([&] { return zone.allHoldVersion(7); }, milliseconds(1500)));
}

TEST_CASE("a host hands out no servers that it keeps only because of an outage", "[gateway]")
{
    // The store is away, a server is gone when it returns, and the leader drops that server two
    // seconds later. Guards against callers that get answers from it again. This happens if another
    // host hands out its old list, because it has not read the list again since its own two seconds
    // ended.
    StoreFleet zone;
    zone.addHosts(2);
    zone.listHosts();
    REQUIRE(zone.runUntil([&] { return zone.allHoldVersion(7); }));
    for (const char *path : {"/watch", "/configuration", "/servers"})
        zone.store.refused[path] = true;
    const auto isLost = [&](const auto &it) { return it->replica->isStoreLost(bootTimeNow()); };
    REQUIRE(
        zone.runUntil([&] { return std::all_of(zone.hosts.begin(), zone.hosts.end(), isLost); }));
    zone.protocol.entries.clear();
    zone.store.refused.clear();
    const Base::TimePoint end = bootTimeNow() + milliseconds(4500);
    bool isHandedOut = false;
    bool isBack = false;
    std::vector<bool> hasDropped(zone.hosts.size(), false);
    zone.runUntil(
        [&] {
            for (std::size_t i = 0; i < zone.hosts.size(); ++i) {
                StoreReplica &replica = *zone.hosts[i]->replica;
                isHandedOut |= handsOutServers(replica);
                const bool isDropped = replica.servers().servers().empty();
                isBack |= hasDropped[i] && !isDropped;
                hasDropped[i] = isDropped;
            }
            return bootTimeNow() >= end;
        },
        seconds(6));
    CHECK_FALSE(isHandedOut);
    CHECK_FALSE(isBack);
    CHECK(hasDropped == std::vector<bool>(zone.hosts.size(), true));
}

// Guards against callers without servers after an outage that only the previous reader of the store
// noticed.
TEST_CASE("a new leader keeps servers whose entries lapsed in an outage that only the old one saw",
          "[gateway]")
{
    StoreFleet zone;
    zone.addHosts(2);
    zone.listHosts();
    REQUIRE(zone.runUntil([&] { return zone.allHoldVersion(7); }));
    // By now only the first host calls the store.
    zone.runFor(seconds(2));
    for (const char *path : {"/watch", "/configuration", "/servers"})
        zone.store.refused[path] = true;
    REQUIRE(zone.runUntil([&] { return zone.hosts[0]->replica->isStoreLost(bootTimeNow()); }));
    REQUIRE_FALSE(zone.hosts[1]->replica->isStoreLost(bootTimeNow()));
    zone.protocol.entries.clear();
    zone.store.refused.clear();
    const auto hasServer = [](const auto &it) { return !it->replica->servers().servers().empty(); };
    const auto isAnyEmpty = [&] {
        return !std::all_of(zone.hosts.begin(), zone.hosts.end(), hasServer);
    };
    CHECK_FALSE(zone.runUntil(isAnyEmpty, milliseconds(1500)));
    // Servers whose entries do not come back are dropped in the end.
    CHECK(zone.runUntil(
        [&] { return std::none_of(zone.hosts.begin(), zone.hosts.end(), hasServer); }, seconds(5)));
}

TEST_CASE("hosts of a small fleet that start together all find each other", "[gateway]")
{
    // Guards against a customer whose callers use all hosts and who is served three times as much
    // as one whose callers stay with one host. This happens if only the leader of each zone reads
    // and writes rows: the other hosts of different zones never send each other reports, and each
    // counts only a part of what the first customer received.
    StoreFleet fleet;
    for (const char *zone : {"a", "b", "c"})
        fleet.addHosts(2, zone);
    // Their settings name the first host of each zone.
    for (const auto &host : fleet.hosts) {
        for (const std::size_t seed : {0U, 2U, 4U}) {
            if (host != fleet.hosts[seed])
                host->view().addAddress(fleet.hosts[seed]->row().peerAddress, bootTimeNow());
        }
    }
    const bool isComplete = fleet.runUntil(
        [&] {
            const Base::TimePoint now = bootTimeNow();
            return std::all_of(fleet.hosts.begin(), fleet.hosts.end(),
                               [&](const auto &it) { return it->view().liveHosts(now) == 6; });
        },
        seconds(4));
    CHECK(isComplete);
}
