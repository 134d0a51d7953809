#include "fakestore.h"
#include "gateway/boottime.h"
#include "gateway/eventlog.h"
#include "gateway/httplistener.h"
#include "gateway/storeclient.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class Listener final : public StoreListener
{
public:
    void configurationRead(std::shared_ptr<const Routing::RouteTable>, const std::string &) override
    {
        ++configurations;
    }
    void configurationConfirmed(Base::TimePoint) override { ++confirmations; }
    void evacuationsRead(const std::set<Base::ZoneId> &zones, std::uint64_t) override
    {
        evacuated = zones;
    }
    void evacuationsChanged(const std::vector<Routing::EvacuationChange> &changes,
                            std::uint64_t) override
    {
        evacuationChanges = changes;
    }
    void rolloutsRead(const std::vector<Routing::RolloutOrder> &orders, std::uint64_t) override
    {
        ordered = orders;
    }
    void rolloutsChanged(const std::vector<Routing::RolloutOrderChange> &changes,
                         std::uint64_t) override
    {
        rolloutChanges = changes;
    }
    void operatorRead(std::uint64_t version) override { operatorVersion = version; }
    void serversRead(const std::vector<Routing::RegisteredServer> &,
                     Base::TimePoint askedAt) override
    {
        serversReadSince = askedAt;
        wasStoreLost = std::exchange(isStoreLost, false);
        ++serverReadings;
    }
    std::optional<ListedServers> knownServers() const override { return std::nullopt; }
    void storeFailed() override { isStoreLost = true; }
    void unreadableEntriesChanged(const std::set<std::string> &) override {}
    void storeCallFinished(const char *, bool) override {}
    void hostsRead(const std::vector<HostRow> &read) override
    {
        hosts.insert(hosts.end(), read.begin(), read.end());
    }
    std::vector<HostRow> rowsToRefresh() const override { return rows; }

    std::vector<HostRow> rows;
    std::vector<HostRow> hosts;
    std::set<Base::ZoneId> evacuated;
    std::vector<Routing::EvacuationChange> evacuationChanges;
    std::vector<Routing::RolloutOrder> ordered;
    std::vector<Routing::RolloutOrderChange> rolloutChanges;
    std::uint64_t operatorVersion = 0;
    Base::TimePoint serversReadSince{};
    int configurations = 0;
    int confirmations = 0;
    int serverReadings = 0;
    bool isStoreLost = false;
    /// Whether the store had been reported as failed before the servers were last read.
    bool wasStoreLost = false;
};

/// A client and its store on loopback, both on the thread of the test.
class StoreFixture
{
public:
    StoreFixture()
        : m_nullDescriptor(open("/dev/null", O_WRONLY | O_CLOEXEC))
        , m_log(m_nullDescriptor, 0)
    {
        Tcp::acceptor probe(m_io, {boost::asio::ip::make_address_v4("127.0.0.1"), 0});
        const Settings::Address address{"127.0.0.1", probe.local_endpoint().port()};
        probe.close();
        boost::leaf::try_handle_all(
            [&]() -> Base::Result<void> {
                BOOST_LEAF_ASSIGN(
                    m_server,
                    HttpListener::create(m_io, address, {store, m_limits, m_buffer, m_share}));
                return {};
            },
            [] { FAIL("cannot listen"); });
        client = std::make_unique<StoreClient>(m_io, address, protocol, HostRow{}, listener, m_log);
    }
    ~StoreFixture() { close(m_nullDescriptor); }
    StoreFixture(const StoreFixture &) = delete;
    StoreFixture &operator=(const StoreFixture &) = delete;

    /// Runs the client and the store until \a condition holds. Returns false if it does not hold
    /// within \a limit.
    bool runUntil(const std::function<bool()> &condition, Base::Duration limit = seconds(5))
    {
        const Base::TimePoint end = bootTimeNow() + limit;
        while (!condition()) {
            if (bootTimeNow() >= end)
                return false;
            client->advance(bootTimeNow());
            m_io.poll();
            usleep(1000);
        }
        return true;
    }

private:
    // Declared before the members with sockets of it, so that it is destroyed after them.
    CallerShare m_share;
    boost::asio::io_context m_io;

public:
    FakeStore store;
    Listener listener;

    FakeStoreProtocol protocol;

private:
    ConnectionLimits m_limits;
    std::string m_buffer = std::string(65536, '\0');
    int m_nullDescriptor;
    EventLog m_log;
    std::unique_ptr<HttpListener> m_server;

public:
    std::unique_ptr<StoreClient> client;
};

} // namespace

TEST_CASE("an outage that affects only the watch of the configuration counts for the servers too",
          "[gateway]")
{
    // Guards against dropping running servers, after which callers get 503. An outage may be
    // shorter than the interval between two readings of the servers, and their entries may expire
    // during it. If only a failed reading of the servers reports the outage, the entries that the
    // next reading lacks count as servers that are gone.
    StoreFixture fixture;
    fixture.client->setReaderRole(StoreClient::ReaderRole::ForZone);
    REQUIRE(fixture.runUntil([&] { return fixture.listener.serverReadings == 1; }));
    CHECK_FALSE(fixture.listener.wasStoreLost);
    fixture.store.refused["/watch"] = true;
    fixture.store.refused["/configuration"] = true;
    const int watches = fixture.store.calls["/watch"];
    REQUIRE(fixture.runUntil([&] { return fixture.store.calls["/watch"] > watches; }));
    fixture.store.refused.clear();
    REQUIRE(fixture.runUntil([&] { return fixture.listener.serverReadings == 2; }));
    CHECK(fixture.listener.wasStoreLost);
}

TEST_CASE("a host that no longer reads for itself reads the servers once more after a failed watch",
          "[gateway]")
{
    // A host loses the store while it reads for itself, and another host takes over. Its servers
    // must not count as unconfirmed for ever, since it could then never lead its zone again.
    StoreFixture fixture;
    fixture.client->setReaderRole(StoreClient::ReaderRole::Self);
    REQUIRE(fixture.runUntil([&] { return fixture.listener.serverReadings == 1; }));
    fixture.store.refused["/watch"] = true;
    REQUIRE(fixture.runUntil([&] { return fixture.listener.isStoreLost; }));
    fixture.store.refused.clear();
    fixture.client->setReaderRole(StoreClient::ReaderRole::None);
    CHECK(fixture.runUntil([&] { return !fixture.listener.isStoreLost; }));
}

TEST_CASE("a host that has lost the store retries only one call until that is answered",
          "[gateway]")
{
    // Guards against needless calls during an outage, each of which costs money, also if it is
    // refused: when the store refuses a third of 195 hosts for 9 s, or is down for all of them,
    // each host retried the calls for the configuration, the servers and its row in parallel. One
    // of them suffices to notice that the store accepts calls again.
    StoreFixture fixture;
    fixture.listener.rows = {HostRow{}};
    fixture.client->setReaderRole(StoreClient::ReaderRole::Self);
    REQUIRE(fixture.runUntil([&] { return fixture.store.calls["/row"] == 1; }));
    for (const char *path : {"/watch", "/configuration", "/servers", "/hosts", "/row"})
        fixture.store.refused[path] = true;
    REQUIRE(fixture.runUntil([&] { return fixture.client->isLost(); }));
    fixture.store.calls.clear();
    const Base::TimePoint end = bootTimeNow() + milliseconds(2500);
    REQUIRE(fixture.runUntil([&] { return bootTimeNow() >= end; }));
    // The pauses are 0.25, 0.5, 1 and 1 s. One call for the servers may have been in flight.
    CHECK(fixture.store.calls["/watch"] + fixture.store.calls["/configuration"] <= 4);
    CHECK(fixture.store.calls["/servers"] <= 1);
    CHECK(fixture.store.calls["/row"] == 0);
    const int readings = fixture.listener.serverReadings;
    fixture.store.refused.clear();
    CHECK(fixture.runUntil([&] { return fixture.listener.serverReadings > readings; }));
}

// Guards against answers from an older state of the store that confirm the configuration, so that a
// revoked key stays accepted, or that bring back a server which has left.
TEST_CASE("an answer from an older state of the store confirms nothing", "[gateway]")
{
    StoreFixture fixture;
    fixture.client->setReaderRole(StoreClient::ReaderRole::ForZone);
    REQUIRE(fixture.runUntil(
        [&] { return fixture.listener.confirmations > 0 && fixture.listener.serverReadings > 0; }));
    fixture.store.version = 6;
    const auto calls = [&] {
        return fixture.store.calls["/watch"] + fixture.store.calls["/configuration"];
    };
    // A call that was sent before the change may still be in flight.
    REQUIRE(fixture.runUntil([&, n = calls()] { return calls() > n + 1; }));
    const int confirmations = fixture.listener.confirmations;
    const int serverReadings = fixture.listener.serverReadings;
    REQUIRE(fixture.runUntil([&, n = calls(), reads = fixture.store.calls["/servers"]] {
        return calls() > n + 2 && fixture.store.calls["/servers"] > reads + 1;
    }));
    CHECK(fixture.listener.confirmations == confirmations);
    CHECK(fixture.listener.serverReadings == serverReadings);
    CHECK(fixture.listener.configurations == 1);
    fixture.store.version = 8;
    CHECK(fixture.runUntil([&] {
        return fixture.listener.configurations == 2
               && fixture.listener.confirmations > confirmations
               && fixture.listener.serverReadings > serverReadings;
    }));
}

TEST_CASE("a watch goes on behind a change that is not of the configuration", "[gateway]")
{
    // The operator evacuates a zone. Guards against a watch that starts again before this change:
    // the store answers it at once, hundreds of times a second, and each call has a price.
    StoreFixture fixture;
    fixture.client->setReaderRole(StoreClient::ReaderRole::ForZone);
    REQUIRE(fixture.runUntil([&] { return fixture.listener.confirmations > 0; }));
    fixture.protocol.evacuations = {{Base::ZoneId("east"), true}};
    fixture.protocol.unchangedConfiguration = "9";
    fixture.store.version = 9;
    REQUIRE(fixture.runUntil([&] { return !fixture.listener.evacuationChanges.empty(); }));
    CHECK(fixture.listener.evacuationChanges == fixture.protocol.evacuations);
    const std::size_t watches = fixture.protocol.watchedVersions.size();
    REQUIRE(
        fixture.runUntil([&] { return fixture.protocol.watchedVersions.size() > watches + 1; }));
    CHECK(fixture.protocol.watchedVersions.back() == 10);
}

TEST_CASE("a broken connection is no outage of the store", "[gateway]")
{
    // Guards against requests to a server that has left. All connections are reset while a server
    // leaves without announcing it: its entry disappears. If the broken watch counts as an outage,
    // missing entries are kept for 2 s, and the next watch is held for 0.5 s before it shows that
    // the store is available. Requests then reached the server 3 s later, 1 s after the bound.
    StoreFixture fixture;
    fixture.client->setReaderRole(StoreClient::ReaderRole::ForZone);
    REQUIRE(fixture.runUntil([&] { return fixture.listener.serverReadings == 1; }));
    for (const char *path : {"/watch", "/servers"}) {
        const int calls = fixture.store.calls[path];
        fixture.store.dropsNextCall[path] = true;
        REQUIRE(fixture.runUntil([&] { return fixture.store.calls[path] > calls; }));
        const int readings = fixture.listener.serverReadings;
        REQUIRE(fixture.runUntil([&] { return fixture.listener.serverReadings > readings; }));
        CHECK_FALSE(fixture.listener.wasStoreLost);
        CHECK_FALSE(fixture.client->isLost());
    }
}

TEST_CASE("an outage also counts for a host that stops reading because of it", "[gateway]")
{
    // Guards against dropping all servers, after which callers get 503. Two hosts of a zone lose
    // the store in turn. The first one reports it and is led by the other from then on. If its
    // second failed call does not count as an outage, it drops the servers whose entries expired
    // meanwhile once both hosts reach the store again.
    StoreFixture fixture;
    fixture.client->setReaderRole(StoreClient::ReaderRole::ForZone);
    REQUIRE(fixture.runUntil([&] { return fixture.listener.serverReadings == 1; }));
    fixture.store.dropsNextCall["/watch"] = true;
    fixture.store.refused["/configuration"] = true;
    REQUIRE(fixture.runUntil([&] { return fixture.client->isLost(); }));
    fixture.client->setReaderRole(StoreClient::ReaderRole::None);
    CHECK(fixture.runUntil([&] { return fixture.listener.isStoreLost; }, seconds(1)));
    fixture.store.refused.clear();
    REQUIRE(fixture.runUntil([&] { return fixture.listener.serverReadings == 2; }));
    CHECK(fixture.listener.wasStoreLost);
}

TEST_CASE("all rows of hosts are read, however many pages they take", "[gateway]")
{
    // Guards against a fleet of which each host knows only the first five hundred hosts by name, so
    // that whole zones are never found.
    StoreFixture fixture;
    const auto row = [](int n) {
        return HostRow{Base::HostId("h" + std::to_string(n)), Base::ZoneId("z"), "1.2.3.4:5"};
    };
    fixture.protocol.nextHosts = {{row(1), row(2)}, {row(3)}, {row(4)}};
    CHECK(fixture.runUntil([&] { return fixture.listener.hosts.size() == 4; }));
}

TEST_CASE("the servers are listed once, and again only if the store's history is gone", "[gateway]")
{
    // Guards against readers that transfer thousands of entries every second.
    StoreFixture fixture;
    fixture.client->setReaderRole(StoreClient::ReaderRole::ForZone);
    REQUIRE(fixture.runUntil([&] { return fixture.listener.serverReadings == 3; }));
    CHECK(fixture.protocol.serverListings == 1);
    REQUIRE(fixture.protocol.serverChangesAfter.size() >= 2);
    CHECK(fixture.protocol.serverChangesAfter.front() == 7);
    fixture.store.dropsHistory["/servers"] = true;
    REQUIRE(fixture.runUntil([&] { return fixture.protocol.serverListings == 2; }));
    CHECK(fixture.runUntil([&] { return fixture.listener.serverReadings == 5; }));
    CHECK(fixture.protocol.serverListings == 2);
    CHECK_FALSE(fixture.listener.wasStoreLost);
}

// Guards against streams that wait in vain for a proof, and against a store that is asked for each.
TEST_CASE("a host for which another one reads asks once for all streams that wait for a proof",
          "[gateway]")
{
    StoreFixture fixture;
    fixture.client->setReaderRole(StoreClient::ReaderRole::None);
    REQUIRE(fixture.runUntil([&] { return fixture.listener.serverReadings == 1; }));
    const auto never = [] { return false; };
    fixture.runUntil(never, milliseconds(300));
    CHECK(fixture.listener.serverReadings == 1);
    const Base::TimePoint wantedAt = bootTimeNow();
    for (int i = 0; i < 20; ++i)
        fixture.client->readServersAfter(wantedAt);
    REQUIRE(fixture.runUntil([&] { return fixture.listener.serverReadings == 2; }));
    CHECK(fixture.listener.serversReadSince >= wantedAt);
    fixture.runUntil(never, milliseconds(300));
    CHECK(fixture.listener.serverReadings == 2);
    // Streams that come one after the other share readings, too.
    for (int i = 0; i < 50; ++i) {
        fixture.client->readServersAfter(bootTimeNow());
        fixture.runUntil(never, milliseconds(10));
    }
    CHECK(fixture.listener.serverReadings >= 4);
    CHECK(fixture.listener.serverReadings <= 9);
}
