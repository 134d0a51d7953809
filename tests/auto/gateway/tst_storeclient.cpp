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
    void serversRead(const std::vector<Routing::RegisteredServer> &, Base::TimePoint) override
    {
        wasAwayBefore = std::exchange(isStoreAway, false);
        ++serverReadings;
    }
    void storeFailed() override { isStoreAway = true; }
    void unreadableEntriesChanged(const std::set<std::string> &) override {}
    void storeCallFinished(const char *, bool) override {}
    void hostsRead(const std::vector<HostRow> &) override {}
    std::vector<HostRow> rowsToRefresh() const override { return rows; }

    std::vector<HostRow> rows;
    int configurations = 0;
    int confirmations = 0;
    int serverReadings = 0;
    bool isStoreAway = false;
    /// Whether the store was known to have been away when the servers were last read.
    bool wasAwayBefore = false;
};

/// A client of a store on loopback, both on this thread.
class Loopback
{
public:
    Loopback()
        : m_null(open("/dev/null", O_WRONLY | O_CLOEXEC))
        , m_log(m_null, 0)
    {
        Tcp::acceptor probe(m_io, {boost::asio::ip::make_address_v4("127.0.0.1"), 0});
        const Settings::Address address{"127.0.0.1", probe.local_endpoint().port()};
        probe.close();
        boost::leaf::try_handle_all(
            [&]() -> Base::Result<void> {
                BOOST_LEAF_ASSIGN(m_server,
                                  HttpListener::create(m_io, address, {store, m_limits, m_buffer}));
                return {};
            },
            [] { FAIL("cannot listen"); });
        client =
            std::make_unique<StoreClient>(m_io, address, m_protocol, HostRow{}, listener, m_log);
    }
    ~Loopback() { close(m_null); }
    Loopback(const Loopback &) = delete;
    Loopback &operator=(const Loopback &) = delete;

    /// False if \a condition does not hold within \a limit.
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
    // Before what has sockets of it.
    boost::asio::io_context m_io;

public:
    FakeStore store;
    Listener listener;

private:
    FakeStoreProtocol m_protocol;
    ConnectionLimits m_limits;
    std::string m_buffer = std::string(65536, '\0');
    int m_null;
    EventLog m_log;
    std::unique_ptr<HttpListener> m_server;

public:
    std::unique_ptr<StoreClient> client;
};

} // namespace

TEST_CASE("an outage that only the watch of the configuration meets counts for the servers too",
          "[gateway]")
{
    // The store is away for less than the time between two readings of the servers, and their
    // entries lapse in it. Its next list shows none of them, and callers get 503 although every
    // server runs. Cause: only a failed reading of the servers told that the store had been away,
    // so the missing entries counted as servers that are gone.
    Loopback fleet;
    fleet.client->setReaderRole(StoreClient::ReaderRole::ForZone);
    REQUIRE(fleet.runUntil([&] { return fleet.listener.serverReadings == 1; }));
    CHECK_FALSE(fleet.listener.wasAwayBefore);
    fleet.store.refused["/watch"] = true;
    fleet.store.refused["/configuration"] = true;
    const int watches = fleet.store.calls["/watch"];
    REQUIRE(fleet.runUntil([&] { return fleet.store.calls["/watch"] > watches; }));
    fleet.store.refused.clear();
    REQUIRE(fleet.runUntil([&] { return fleet.listener.serverReadings == 2; }));
    CHECK(fleet.listener.wasAwayBefore);
}

TEST_CASE("a host that others read for looks at the servers again after an outage of the watch",
          "[gateway]")
{
    // A host loses the store while it reads for itself, and another one stands in for it. It must
    // not count its servers as doubtful for ever: it could never lead its zone again.
    Loopback fleet;
    fleet.client->setReaderRole(StoreClient::ReaderRole::Self);
    REQUIRE(fleet.runUntil([&] { return fleet.listener.serverReadings == 1; }));
    fleet.store.refused["/watch"] = true;
    REQUIRE(fleet.runUntil([&] { return fleet.listener.isStoreAway; }));
    fleet.store.refused.clear();
    fleet.client->setReaderRole(StoreClient::ReaderRole::None);
    CHECK(fleet.runUntil([&] { return !fleet.listener.isStoreAway; }));
}

TEST_CASE("a host that has lost the store tries one call until that is answered", "[gateway]")
{
    // The store turns a third of 195 hosts away for nine seconds, or is down for all of them. Each
    // refused call is paid for, and each host tried for the configuration, for the servers and for
    // its row, side by side. One of them tells as well when the store takes calls again.
    Loopback fleet;
    fleet.listener.rows = {HostRow{}};
    fleet.client->setReaderRole(StoreClient::ReaderRole::Self);
    REQUIRE(fleet.runUntil([&] { return fleet.store.calls["/row"] == 1; }));
    for (const char *path : {"/watch", "/configuration", "/servers", "/hosts", "/row"})
        fleet.store.refused[path] = true;
    REQUIRE(fleet.runUntil([&] { return fleet.client->isLost(); }));
    fleet.store.calls.clear();
    const Base::TimePoint end = bootTimeNow() + milliseconds(2500);
    REQUIRE(fleet.runUntil([&] { return bootTimeNow() >= end; }));
    // After pauses of 0.25, 0.5, 1 and 1 second; one call for the servers may have been under way.
    CHECK(fleet.store.calls["/watch"] + fleet.store.calls["/configuration"] <= 4);
    CHECK(fleet.store.calls["/servers"] <= 1);
    CHECK(fleet.store.calls["/row"] == 0);
    const int readings = fleet.listener.serverReadings;
    fleet.store.refused.clear();
    CHECK(fleet.runUntil([&] { return fleet.listener.serverReadings > readings; }));
}

// Guards against a key that was taken away and is used on, since an answer from an older state of
// the store counted as a proof, or brought back a server that left.
TEST_CASE("an answer from an older state of the store proves nothing", "[gateway]")
{
    Loopback fleet;
    fleet.client->setReaderRole(StoreClient::ReaderRole::ForZone);
    REQUIRE(fleet.runUntil(
        [&] { return fleet.listener.confirmations > 0 && fleet.listener.serverReadings > 0; }));
    fleet.store.version = 6;
    const auto calls = [&] {
        return fleet.store.calls["/watch"] + fleet.store.calls["/configuration"];
    };
    // What was asked before the change may still be under way.
    REQUIRE(fleet.runUntil([&, n = calls()] { return calls() > n + 1; }));
    const int confirmations = fleet.listener.confirmations;
    const int serverReadings = fleet.listener.serverReadings;
    REQUIRE(fleet.runUntil([&, n = calls(), reads = fleet.store.calls["/servers"]] {
        return calls() > n + 2 && fleet.store.calls["/servers"] > reads + 1;
    }));
    CHECK(fleet.listener.confirmations == confirmations);
    CHECK(fleet.listener.serverReadings == serverReadings);
    CHECK(fleet.listener.configurations == 1);
    fleet.store.version = 8;
    CHECK(fleet.runUntil([&] {
        return fleet.listener.configurations == 2 && fleet.listener.confirmations > confirmations
               && fleet.listener.serverReadings > serverReadings;
    }));
}

TEST_CASE("a connection that breaks is no outage of the store", "[gateway]")
{
    // All connections are reset while a server leaves that never says so: its entry goes. Three
    // seconds later requests still reach it, a second after its time to leave. Cause: the broken
    // watch counted as an outage, after which missing entries are kept for two seconds; and the
    // next watch was held for half a second before it told that the store was there.
    Loopback fleet;
    fleet.client->setReaderRole(StoreClient::ReaderRole::ForZone);
    REQUIRE(fleet.runUntil([&] { return fleet.listener.serverReadings == 1; }));
    for (const char *path : {"/watch", "/servers"}) {
        const int calls = fleet.store.calls[path];
        fleet.store.dropsNextCall[path] = true;
        REQUIRE(fleet.runUntil([&] { return fleet.store.calls[path] > calls; }));
        const int readings = fleet.listener.serverReadings;
        REQUIRE(fleet.runUntil([&] { return fleet.listener.serverReadings > readings; }));
        CHECK_FALSE(fleet.listener.wasAwayBefore);
        CHECK_FALSE(fleet.client->isLost());
    }
}

TEST_CASE("an outage counts also for a host that stops reading because of it", "[gateway]")
{
    // Two hosts of a zone lose the store in turn. The first one tells so and is led by the other
    // from then on; when both are back it drops all servers, whose entries lapsed meanwhile, and
    // callers get 503. Cause: its second failed call did not count as an outage any more.
    Loopback fleet;
    fleet.client->setReaderRole(StoreClient::ReaderRole::ForZone);
    REQUIRE(fleet.runUntil([&] { return fleet.listener.serverReadings == 1; }));
    fleet.store.dropsNextCall["/watch"] = true;
    fleet.store.refused["/configuration"] = true;
    REQUIRE(fleet.runUntil([&] { return fleet.client->isLost(); }));
    fleet.client->setReaderRole(StoreClient::ReaderRole::None);
    CHECK(fleet.runUntil([&] { return fleet.listener.isStoreAway; }, seconds(1)));
    fleet.store.refused.clear();
    REQUIRE(fleet.runUntil([&] { return fleet.listener.serverReadings == 2; }));
    CHECK(fleet.listener.wasAwayBefore);
}
