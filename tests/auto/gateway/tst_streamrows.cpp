#include "gateway/streamrows.h"

#include "gateway/boottime.h"
#include "loopbackstore.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = Routing::Continuation::Kind;
using Source = Routing::StreamOrigins::Source;

namespace {

const Routing::ServiceVersion v1{"pool", "v1"};
const Routing::ServiceVersion v2{"pool", "v2"};
/// What the fake store's clock shows.
constexpr milliseconds storeNow = seconds(100);

struct Host
{
    Routing::StreamOrigins origins;
    std::unique_ptr<StreamRows> rows;
    StreamRows::View view;

    Kind kindOf(Routing::StreamId stream) const
    {
        return origins.continuation("pool", stream, bootTimeNow()).kind;
    }
    std::string versionOf(Routing::StreamId stream) const
    {
        return origins.continuation("pool", stream, bootTimeNow()).softwareVersion;
    }
};

/// Hosts with rows of streams, and their store. The hosts' clock can be moved.
class StreamsFixture : public LoopbackStore
{
public:
    /// A host starts that knows which versions have served, and nothing else.
    std::unique_ptr<Host> started(const std::string &writer)
    {
        auto host = std::make_unique<Host>();
        host->rows = std::make_unique<StreamRows>(
            m_address, writer,
            StreamRows::Dependencies{m_io, protocol, host->origins, m_log, *m_metrics});
        update(*host);
        return host;
    }
    /// Advances the rows of \a hosts for \a time.
    void run(const std::vector<Host *> &hosts, Base::Duration time = milliseconds(250))
    {
        const Base::TimePoint end = bootTimeNow() + time;
        while (bootTimeNow() < end) {
            for (Host *host : hosts) {
                update(*host);
                host->rows->advance(host->view, now());
            }
            poll();
        }
    }
    void run(Host &host, Base::Duration time = milliseconds(250)) { run({&host}, time); }
    /// The store performs the writes that hosts have sent.
    void performWrites()
    {
        for (const StreamChanges &changes : protocol.streamChanges) {
            std::erase_if(protocol.streamRows, [&](const StreamRow &it) {
                return std::ranges::find(changes.removals, it.key) != changes.removals.end();
            });
            protocol.streamRows.insert(protocol.streamRows.end(), changes.puts.begin(),
                                       changes.puts.end());
        }
        protocol.streamChanges.clear();
    }
    /// How often each stream was sent to the store, by its version.
    std::map<std::string, std::multiset<Routing::StreamId>> sent() const
    {
        std::map<std::string, std::multiset<Routing::StreamId>> sent;
        for (const StreamChanges &changes : protocol.streamChanges) {
            for (const StreamRow &row : changes.puts) {
                for (const Routing::StreamReport &it : row.begun)
                    sent[it.origin.softwareVersion].insert(it.streams.begin(), it.streams.end());
            }
        }
        return sent;
    }
    std::set<std::string> removed() const
    {
        std::set<std::string> removed;
        for (const StreamChanges &changes : protocol.streamChanges)
            removed.insert(changes.removals.begin(), changes.removals.end());
        return removed;
    }
    int reads() { return store.calls["/streams"]; }
    Base::TimePoint now() const { return bootTimeNow() + clockOffset; }

    std::vector<Routing::ServiceVersion> used{v1, v2};
    Base::Duration clockOffset{};

private:
    void update(Host &host)
    {
        host.origins.setServersCurrentUntil(now() + seconds(2), now());
        host.origins.setHistoryKnown(true);
        for (const Routing::ServiceVersion &it : used)
            host.origins.recordVersion(it, now(), now());
    }
};

using Sent = std::map<std::string, std::multiset<Routing::StreamId>>;

} // namespace

// Guards against calls to the store that cost without need.
TEST_CASE("streams are neither read nor written while one version serves", "[gateway]")
{
    StreamsFixture fixture;
    fixture.used = {v1};
    const auto host = fixture.started("a");
    host->view.needsOrigins = true;
    host->origins.recordBegun(1, v1, fixture.now());
    // Another host has told it.
    host->origins.setStoredKnown(true);
    fixture.run(*host);
    CHECK(fixture.reads() == 0);
    host->view.isWriter = true;
    fixture.run(*host);
    CHECK(fixture.reads() == 1);
    CHECK(fixture.protocol.streamChanges.empty());
    // A second version makes it count what was begun before.
    fixture.used = {v1, v2};
    fixture.run(*host);
    CHECK(fixture.reads() == 1);
    CHECK(fixture.sent() == Sent{{"v1", {1}}});
}

// Guards against streams that are refused for good after all hosts have ended.
TEST_CASE("a host that starts while versions are mixed reads all pages of streams", "[gateway]")
{
    StreamsFixture fixture;
    fixture.protocol.nextStreams = {{{"a", storeNow - seconds(9), {{v1, {1}}}}},
                                    {{"b", storeNow - seconds(30), {{v1, {9}}}}},
                                    {{"c", storeNow, {{v2, {2}}}}}};
    const auto host = fixture.started("a");
    CHECK(host->kindOf(1) == Kind::Unread);
    fixture.run(*host);
    CHECK(fixture.reads() == 0);
    host->view.needsOrigins = true;
    fixture.run(*host);
    CHECK(fixture.reads() == 1);
    CHECK(fixture.store.calls["/streams?next"] == 2);
    CHECK(host->versionOf(1) == "v1");
    CHECK(host->versionOf(2) == "v2");
    CHECK(host->kindOf(3) == Kind::Unknown);
    // No stream of a row that old is open.
    CHECK(host->kindOf(9) == Kind::Unknown);
    CHECK(fixture.protocol.streamChanges.empty());
}

TEST_CASE("streams stay unread until the store answers", "[gateway]")
{
    StreamsFixture fixture;
    fixture.protocol.streamRows = {{"a", storeNow, {{v1, {1}}}}};
    fixture.store.refused["/streams"] = true;
    const auto host = fixture.started("a");
    host->view.needsOrigins = true;
    fixture.run(*host, milliseconds(600));
    CHECK(fixture.reads() >= 2);
    CHECK(fixture.reads() <= 3);
    CHECK(host->kindOf(1) == Kind::Unread);
    fixture.store.refused["/streams"] = false;
    fixture.run(*host, milliseconds(1100));
    CHECK(host->versionOf(1) == "v1");
    CHECK(host->kindOf(2) == Kind::Unknown);
}

TEST_CASE("the writer stores each stream once", "[gateway]")
{
    StreamsFixture fixture;
    fixture.protocol.streamRows = {{"0", storeNow, {{v1, {1}}}}};
    const auto host = fixture.started("a");
    host->view.isWriter = true;
    host->origins.recordBegun(1, v1, fixture.now());
    host->origins.recordBegun(2, v1, fixture.now());
    host->origins.apply({{v2, {3}}}, Source::OtherZone, false, fixture.now());
    fixture.run(*host, milliseconds(400));
    REQUIRE(fixture.protocol.streamChanges.size() == 1);
    CHECK(fixture.sent() == Sent{{"v1", {2}}, {"v2", {3}}});
    host->origins.recordBegun(4, v2, fixture.now());
    fixture.run(*host, milliseconds(400));
    REQUIRE(fixture.protocol.streamChanges.size() == 2);
    CHECK(fixture.sent() == Sent{{"v1", {2}}, {"v2", {3, 4}}});
    const StreamRow &first = fixture.protocol.streamChanges[0].puts.front();
    const StreamRow &second = fixture.protocol.streamChanges[1].puts.front();
    CHECK(first.key < second.key);
    CHECK(first.writtenAt >= storeNow);
    CHECK(second.writtenAt < storeNow + seconds(2));
    CHECK(fixture.removed().empty());
}

// Guards against streams that are lost with a write, and against a call in each round meanwhile.
TEST_CASE("streams are written again when the store has not taken them", "[gateway]")
{
    const bool isDropped = GENERATE(false, true);
    const bool isPerformed = isDropped && GENERATE(false, true);
    StreamsFixture fixture;
    const auto host = fixture.started("a");
    host->view.isWriter = true;
    fixture.run(*host, milliseconds(50));
    fixture.store.refused["/stream"] = !isDropped;
    fixture.store.dropsNextCall["/stream"] = isDropped;
    host->origins.recordBegun(1, v1, fixture.now());
    fixture.run(*host, milliseconds(isDropped ? 150 : 600));
    CHECK(fixture.protocol.streamChanges.size() >= (isDropped ? 1 : 2));
    CHECK(fixture.protocol.streamChanges.size() <= (isDropped ? 1 : 4));
    if (isPerformed)
        fixture.performWrites();
    fixture.protocol.streamChanges.clear();
    fixture.store.refused["/stream"] = false;
    host->origins.recordBegun(2, v2, fixture.now());
    fixture.run(*host, milliseconds(1200));
    CHECK(fixture.sent() == (isPerformed ? Sent{{"v2", {2}}} : Sent{{"v1", {1}}, {"v2", {2}}}));
}

// Guards against a table that grows with each release.
TEST_CASE("rows of streams that are too old are removed", "[gateway]")
{
    StreamsFixture fixture;
    for (int i = 0; i < 200; ++i)
        fixture.protocol.streamRows.push_back(
            {"old" + std::to_string(i), storeNow - seconds(30), {{v1, {1}}}});
    fixture.protocol.streamRows.push_back({"new", storeNow - seconds(20), {{v1, {2}}}});
    const auto host = fixture.started("a");
    host->view.isWriter = true;
    fixture.run(*host, milliseconds(600));
    REQUIRE(fixture.protocol.streamChanges.size() == 3);
    for (const StreamChanges &it : fixture.protocol.streamChanges)
        CHECK(it.removals.size() <= 80);
    CHECK(fixture.removed().size() == 200);
    CHECK_FALSE(fixture.removed().contains("new"));
    // The rows that it wrote itself are removed, too.
    host->origins.recordBegun(3, v1, fixture.now());
    fixture.run(*host);
    REQUIRE(fixture.protocol.streamChanges.size() == 4);
    const std::string own = fixture.protocol.streamChanges.back().puts.front().key;
    fixture.clockOffset = seconds(31);
    fixture.run(*host);
    CHECK(fixture.removed().contains(own));
    CHECK(fixture.removed().contains("new"));
}

// Guards against rows by another program that block all reading or writing.
TEST_CASE("malformed rows of streams do not affect others and are removed", "[gateway]")
{
    StreamsFixture fixture;
    fixture.protocol.streamRows = {{"a", storeNow, {{v1, {1}}}}};
    fixture.protocol.malformedStreamRows = {"x"};
    const auto host = fixture.started("a");
    host->view.isWriter = true;
    host->origins.recordBegun(2, v2, fixture.now());
    fixture.run(*host);
    CHECK(host->versionOf(1) == "v1");
    REQUIRE(fixture.protocol.streamChanges.size() == 1);
    CHECK(fixture.protocol.streamChanges[0].removals == std::vector<std::string>{"x"});
    CHECK(fixture.sent() == Sent{{"v2", {2}}});
}

// Guards against two hosts that both take themselves for the writer and overwrite each other's
// rows.
TEST_CASE("two writers of streams use different keys and lose nothing", "[gateway]")
{
    StreamsFixture fixture;
    const auto a = fixture.started("a");
    const auto b = fixture.started("b");
    for (Host *host : {a.get(), b.get()}) {
        host->view.isWriter = true;
        host->origins.recordBegun(1, v1, fixture.now());
    }
    a->origins.recordBegun(2, v2, fixture.now());
    b->origins.recordBegun(3, v2, fixture.now());
    fixture.run({a.get(), b.get()});
    std::set<std::string> keys;
    for (const StreamChanges &changes : fixture.protocol.streamChanges) {
        for (const StreamRow &row : changes.puts)
            CHECK(keys.insert(row.key).second);
    }
    CHECK(keys.size() == 2);
    fixture.performWrites();
    const auto c = fixture.started("c");
    c->view.needsOrigins = true;
    fixture.run(*c);
    CHECK(c->versionOf(1) == "v1");
    CHECK(c->versionOf(2) == "v2");
    CHECK(c->versionOf(3) == "v2");
}

TEST_CASE("a writer that starts again goes on with the rows of its former start", "[gateway]")
{
    StreamsFixture fixture;
    auto host = fixture.started("a1");
    host->view.isWriter = true;
    host->origins.recordBegun(1, v1, fixture.now());
    fixture.run(*host);
    fixture.performWrites();
    REQUIRE(fixture.protocol.streamRows.size() == 1);
    const std::string former = fixture.protocol.streamRows.front().key;
    host = fixture.started("a2");
    host->view.isWriter = true;
    // Other hosts tell it what they know.
    host->origins.apply({{v1, {1, 2}}}, Source::OwnZone, false, fixture.now());
    fixture.run(*host);
    CHECK(fixture.sent() == Sent{{"v1", {2}}});
    CHECK(fixture.protocol.streamChanges[0].puts.front().key != former);
    CHECK(fixture.removed().empty());
    fixture.clockOffset = seconds(31);
    fixture.run(*host);
    CHECK(fixture.removed().contains(former));
}

// Guards against rows that the store refuses since they are too large.
TEST_CASE("many streams are split over rows that the store takes", "[gateway]")
{
    constexpr Routing::StreamId count = 50'000;
    StreamsFixture fixture;
    const auto host = fixture.started("a");
    host->view.isWriter = true;
    for (Routing::StreamId stream = 1; stream <= count; ++stream)
        host->origins.recordBegun(stream, stream % 3 == 0 ? v2 : v1, fixture.now());
    fixture.run(*host, milliseconds(900));
    std::set<Routing::StreamId> stored;
    for (const StreamChanges &changes : fixture.protocol.streamChanges) {
        std::size_t bytes = 0;
        for (const StreamRow &row : changes.puts) {
            std::size_t rowBytes = 0;
            for (const Routing::StreamReport &it : row.begun) {
                rowBytes += 64 + 9 * it.streams.size();
                stored.insert(it.streams.begin(), it.streams.end());
            }
            // The value is encoded as Base64.
            CHECK(rowBytes * 4 / 3 <= 65'536);
            bytes += rowBytes * 4 / 3;
        }
        CHECK(bytes < 1'000'000);
        CHECK(changes.puts.size() <= 100);
    }
    CHECK(fixture.sent()["v1"].size() + fixture.sent()["v2"].size() == count);
    CHECK(stored.size() == count);
}

// Guards against a name by another program that keeps all streams from being stored.
TEST_CASE("a version with an enormous name keeps no other streams from being stored", "[gateway]")
{
    StreamsFixture fixture;
    const Routing::ServiceVersion enormous{"pool", std::string(60'000, 'v')};
    fixture.used.push_back(enormous);
    const auto host = fixture.started("a");
    host->view.isWriter = true;
    host->origins.recordBegun(1, enormous, fixture.now());
    host->origins.recordBegun(2, v1, fixture.now());
    fixture.run(*host, milliseconds(400));
    CHECK(fixture.protocol.streamChanges.size() == 1);
    CHECK(fixture.sent() == Sent{{"v1", {2}}});
}

// Guards against streams that begin while a host is cut off and are refused there for good.
TEST_CASE("a host that was cut off reads the streams again", "[gateway]")
{
    StreamsFixture fixture;
    const auto host = fixture.started("a");
    host->view.needsOrigins = true;
    fixture.run(*host);
    CHECK(fixture.reads() == 1);
    CHECK(host->kindOf(1) == Kind::Unknown);
    fixture.protocol.streamRows = {{"a", storeNow, {{v2, {1}}}}};
    fixture.run(*host);
    CHECK(fixture.reads() == 1);
    fixture.clockOffset = seconds(10);
    fixture.run(*host);
    CHECK(fixture.reads() == 2);
    CHECK(host->versionOf(1) == "v2");
}
