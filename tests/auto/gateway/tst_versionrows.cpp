#include "gateway/versionrows.h"

#include "gateway/boottime.h"
#include "loopbackstore.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = Routing::Continuation::Kind;

namespace {

const Routing::ServiceVersion v1{"pool", "v1"};
const Routing::ServiceVersion v2{"pool", "v2"};
/// What the fake store's clock shows.
constexpr milliseconds storeNow = seconds(100);

/// The rows of a host and their store, on loopback. The host's clock can be moved.
class RowsFixture : public LoopbackStore
{
public:
    RowsFixture() { restart(); }

    /// The host starts again and knows nothing.
    void restart()
    {
        origins = Routing::StreamOrigins();
        m_rows = std::make_unique<VersionRows>(
            m_address, VersionRows::Dependencies{m_io, protocol, origins, m_log, *m_metrics});
    }
    void use(const std::vector<Routing::ServiceVersion> &versions)
    {
        view.used = {versions.begin(), versions.end()};
    }
    /// Advances the rows for \a time.
    void run(Base::Duration time = milliseconds(60))
    {
        const Base::TimePoint end = bootTimeNow() + time;
        while (bootTimeNow() < end) {
            const Base::TimePoint now = bootTimeNow() + clockOffset;
            origins.setServersCurrentUntil(now + seconds(2), now);
            for (const Routing::ServiceVersion &it : view.used)
                origins.recordVersion(it, now, now);
            m_rows->advance(view, now);
            poll();
        }
    }
    /// The versions that may have begun a stream that is open now.
    std::vector<std::string> versions() const
    {
        return origins.versions().versions("pool", bootTimeNow() + clockOffset);
    }
    int reads() { return store.calls["/versions"]; }

    Routing::StreamOrigins origins;
    VersionRows::View view;
    Base::Duration clockOffset{};

private:
    std::unique_ptr<VersionRows> m_rows;
};

} // namespace

// Guards against streams of a version whose last server was gone when all hosts were killed.
TEST_CASE("a host that starts reads which versions served before", "[gateway]")
{
    RowsFixture host;
    host.protocol.versionRows = {{v1, storeNow - seconds(5), "a", 3}, {v2, std::nullopt, "b", 4}};
    host.use({v2});
    host.view.needsHistory = true;
    host.run();
    CHECK(host.reads() == 1);
    CHECK(host.versions() == std::vector<std::string>{"v1", "v2"});
    const Base::TimePoint now = bootTimeNow();
    CHECK(host.origins.continuation("pool", 1, now).kind == Kind::Unread);
    host.origins.setStoredKnown(true);
    CHECK(host.origins.continuation("pool", 1, now).kind == Kind::Unknown);
    // A version whose end no host has seen may have served until just now.
    host.protocol.versionRows.front().goneAt.reset();
    host.restart();
    host.run();
    const std::vector<Routing::VersionAge> ages = host.origins.versions().ages(bootTimeNow());
    REQUIRE(ages.size() == 2);
    CHECK(ages.front().age < seconds(2));
    // A version that was gone long ago does not count.
    host.protocol.versionRows.front().goneAt = storeNow - seconds(40);
    host.restart();
    host.run();
    host.origins.setStoredKnown(true);
    CHECK(host.origins.continuation("pool", 1, bootTimeNow()).softwareVersion == "v2");
    CHECK(host.protocol.versionChanges.empty());
}

TEST_CASE("one host writes which versions serve, and which are gone", "[gateway]")
{
    RowsFixture host;
    host.view.isWriter = true;
    host.use({v1});
    host.store.version = 8;
    host.run();
    REQUIRE(host.protocol.versionChanges.size() == 1);
    const std::vector<VersionRow> first{{v1, std::nullopt, {}, 0}};
    CHECK(host.protocol.versionChanges[0].puts == first);
    // The old version leaves when the new one has come.
    host.use({v1, v2});
    host.run();
    host.use({v2});
    host.run();
    REQUIRE(host.protocol.versionChanges.size() == 3);
    CHECK(host.protocol.versionChanges[1].puts.front().version == v2);
    const VersionRow gone = host.protocol.versionChanges[2].puts.front();
    CHECK(gone.version == v1);
    CHECK(gone.revision == 8);
    REQUIRE(gone.goneAt);
    CHECK(*gone.goneAt >= storeNow);
    CHECK(*gone.goneAt < storeNow + seconds(2));
    // Its row is removed when no stream of it can be open any more.
    host.clockOffset = seconds(31);
    host.run();
    REQUIRE(host.protocol.versionChanges.size() == 4);
    CHECK(host.protocol.versionChanges[3].puts.empty());
    REQUIRE(host.protocol.versionChanges[3].removals.size() == 1);
    CHECK(host.protocol.versionChanges[3].removals.front().version == v1);
    host.run();
    CHECK(host.protocol.versionChanges.size() == 4);
}

TEST_CASE("a version that comes back after a roll-back serves again", "[gateway]")
{
    RowsFixture host;
    host.protocol.versionRows = {{v1, storeNow - seconds(5), "a", 3}, {v2, std::nullopt, "b", 4}};
    host.view.isWriter = true;
    host.use({v1});
    host.run();
    REQUIRE(host.protocol.versionChanges.size() == 1);
    const std::vector<VersionRow> &puts = host.protocol.versionChanges[0].puts;
    REQUIRE(puts.size() == 2);
    CHECK(puts[0] == VersionRow{v1, std::nullopt, "a", 3});
    CHECK(puts[1].version == v2);
    CHECK(puts[1].goneAt);
}

// Guards against a host that overwrites what another one has written meanwhile.
TEST_CASE("rows of versions are read again when they were not as expected", "[gateway]")
{
    RowsFixture host;
    host.view.isWriter = true;
    host.use({v1});
    host.store.version = 0;
    host.run();
    REQUIRE(host.protocol.versionChanges.size() == 1);
    host.store.version = 9;
    host.protocol.versionRows = {{v1, std::nullopt, "a", 9}};
    const int reads = host.reads();
    host.run(milliseconds(400));
    CHECK(host.reads() == reads + 1);
    CHECK(host.protocol.versionChanges.size() == 1);
}

TEST_CASE("a host that becomes the writer does not rely on rows that it read long ago", "[gateway]")
{
    RowsFixture host;
    host.protocol.versionRows = {{v1, std::nullopt, "a", 3}};
    host.view.needsHistory = true;
    host.use({v1});
    host.run();
    CHECK(host.reads() == 1);
    // The writer of before noted an end of the version and was killed before it noted its return.
    host.protocol.versionRows = {{v1, storeNow - seconds(9), "a", 5}};
    host.clockOffset = milliseconds(2500);
    host.view.isWriter = true;
    host.run();
    CHECK(host.reads() == 2);
    REQUIRE(host.protocol.versionChanges.size() == 1);
    CHECK(host.protocol.versionChanges[0].puts.front() == VersionRow{v1, std::nullopt, "a", 5});
}

// Guards against rows by another program that block all writing.
TEST_CASE("malformed rows of versions are removed before others are written", "[gateway]")
{
    RowsFixture host;
    host.protocol.malformedVersionRows = {{{}, std::nullopt, "x", 2}};
    host.view.isWriter = true;
    host.use({v1});
    host.run(milliseconds(30));
    REQUIRE_FALSE(host.protocol.versionChanges.empty());
    CHECK(host.protocol.versionChanges[0].puts.empty());
    CHECK(host.protocol.versionChanges[0].removals == host.protocol.malformedVersionRows);
    host.protocol.malformedVersionRows.clear();
    host.run();
    CHECK(host.protocol.versionChanges.back().puts.front().version == v1);
}

// Guards against hundreds of calls a second while the store refuses them.
TEST_CASE("rows of versions are read again with growing pauses while the store fails", "[gateway]")
{
    RowsFixture host;
    host.view.needsHistory = true;
    host.store.refused["/versions"] = true;
    host.run(milliseconds(600));
    CHECK(host.reads() >= 2);
    CHECK(host.reads() <= 3);
    CHECK_FALSE(host.origins.isHistoryKnown());
    host.store.refused["/versions"] = false;
    host.run(milliseconds(1100));
    CHECK(host.origins.isHistoryKnown());
}

// Guards against rows that a report with arbitrary bytes brings into the store.
TEST_CASE("a version that only other hosts report is not written", "[gateway]")
{
    RowsFixture host;
    host.view.isWriter = true;
    host.use({v1});
    host.origins.apply({{v2, {1}}}, Routing::StreamOrigins::Source::OtherZone, false,
                       bootTimeNow());
    host.run();
    REQUIRE(host.protocol.versionChanges.size() == 1);
    CHECK(host.protocol.versionChanges[0].puts.size() == 1);
    CHECK(host.versions().size() == 2);
}

TEST_CASE("a host that does not need the history does not read it", "[gateway]")
{
    RowsFixture host;
    host.use({v1});
    host.run();
    CHECK(host.reads() == 0);
}
