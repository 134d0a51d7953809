#include "routing/configurationlease.h"
#include "routing/serverset.h"
#include "support/cputime.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};

RegisteredServer server(const std::string &id, bool isLeaving = false)
{
    RegisteredServer it;
    it.id = Base::ServerId(id);
    it.service = "app";
    it.address = "127.0.0.1:1";
    it.isLeaving = isLeaving;
    return it;
}

RegisteredServer startOf(const std::string &name, milliseconds at, bool isLeaving = false)
{
    RegisteredServer it = server(name, isLeaving);
    it.start = {name, at};
    it.id = idOf(it.start);
    return it;
}

} // namespace

// Guards against hosts that never notice that they know different versions of a server.
TEST_CASE("the fingerprint depends on the software versions of the servers", "[routing]")
{
    RegisteredServer server;
    server.id = Base::ServerId("s");
    server.start.name = "s";
    server.softwareVersion = "v1";
    ServerSet one(seconds(2));
    one.apply({server}, start);
    server.softwareVersion = "v2";
    ServerSet other(seconds(2));
    other.apply({server}, start);
    CHECK(one.fingerprint() != other.fingerprint());
    one.applyChanges(other.asChanges(start), start);
    CHECK(one.fingerprint() == other.fingerprint());
}

TEST_CASE("a server that was seen leaving gets no requests again", "[routing]")
{
    // A server announces that it leaves, and then a reading of an older state of the store still
    // lists it as ready. Guards against believing the newest reading about a final state: requests
    // would fail at a server that has just exited.
    ServerSet set(seconds(2));
    set.apply({server("a"), server("b")}, start);
    const ServerChanges changes = set.apply({server("a", true), server("b")}, start + seconds(1));
    CHECK(changes.leaving == std::vector{Base::ServerId("a")});
    set.apply({server("a"), server("b")}, start + seconds(2));
    CHECK(set.usable(Base::ServerId("a")) == nullptr);
    CHECK(set.usable(Base::ServerId("b")) != nullptr);
}

TEST_CASE("entries that expire during a store outage are kept for two seconds after its return",
          "[routing]")
{
    // The servers run through an outage of the store, but their entries expire, and the first
    // reading returns an empty list. Guards against treating missing entries as gone servers, with
    // which all requests are refused for seconds.
    ServerSet set(seconds(2));
    set.apply({server("a"), server("b")}, start);
    set.storeFailed(start + seconds(1));
    CHECK(set.apply({}, start + seconds(5)).isEmpty());
    CHECK(set.usable(Base::ServerId("a")) != nullptr);
    set.apply({server("b")}, start + seconds(6));
    CHECK(set.usable(Base::ServerId("a")) != nullptr);
    // Server "a" is still missing after the grace period, so it is gone; the other one is not.
    const ServerChanges changes = set.apply({server("b")}, start + seconds(7) + milliseconds(1));
    CHECK(changes.gone == std::vector{Base::ServerId("a")});
    CHECK(set.usable(Base::ServerId("b")) != nullptr);
}

TEST_CASE("servers that another host reports as gone are kept just after the store's return",
          "[routing]")
{
    // This host keeps the servers whose entries expired in a short outage. Another host of its zone
    // had no call open during the outage, reads a list without them, and repeatedly reports them as
    // gone. Guards against believing these reports at once, with which callers get 503.
    ServerSet set(seconds(2));
    set.apply({server("a")}, start);
    set.storeFailed(start + milliseconds(100));
    set.apply({}, start + milliseconds(300));
    const std::vector<ServerChange> gone{{ServerChange::Kind::Gone, server("a")}};
    CHECK(set.applyChanges(gone, start + milliseconds(500)).isEmpty());
    CHECK(set.usable(Base::ServerId("a")) != nullptr);
    // A server that announces that it leaves is removed whatever happened to the store.
    set.applyChanges({{ServerChange::Kind::Leaving, server("a")}}, start + milliseconds(600));
    CHECK(set.usable(Base::ServerId("a")) == nullptr);
}

TEST_CASE("servers that another host reports as gone are kept just after the loss of the store",
          "[routing]")
{
    // The report arrives before this host has read the list again: it has noticed the outage, but
    // not the store's return. Guards against dropping all servers, with which callers get 503 at
    // once.
    ServerSet set(seconds(2));
    set.apply({server("a")}, start);
    set.storeFailed(start + milliseconds(100));
    set.applyChanges({{ServerChange::Kind::Gone, server("a")}}, start + milliseconds(500));
    CHECK(set.usable(Base::ServerId("a")) != nullptr);
}

TEST_CASE("a host that the store refuses for long accepts the reports of one that reads it",
          "[routing]")
{
    // The store works and refuses this host, so the host that reads the store knows which servers
    // are gone.
    ServerSet set(seconds(2));
    set.apply({server("a")}, start);
    set.storeFailed(start + milliseconds(100));
    set.storeFailed(start + milliseconds(1900));
    set.applyChanges({{ServerChange::Kind::Gone, server("a")}}, start + milliseconds(2100));
    CHECK(set.usable(Base::ServerId("a")) == nullptr);
}

// Guards against a pool without servers after an outage that this host's own calls did not meet.
TEST_CASE("entries that expire in an outage that another host noticed are kept for the same time",
          "[routing]")
{
    ServerSet set(seconds(2));
    set.apply({server("a"), server("b"), server("c")}, start);
    set.outageReported(start + seconds(4));
    // An earlier outage that is reported later changes nothing.
    set.outageReported(start + seconds(1));
    CHECK(set.apply({server("c")}, start + seconds(5)).gone.empty());
    CHECK_FALSE(set.isAuthoritative(start + seconds(5)));
    CHECK(set.apply({server("c")}, start + milliseconds(6999)).gone.empty());
    CHECK(set.apply({server("c")}, start + seconds(7)).gone.size() == 2);
}

// Guards against requests to a server that left and is kept only because some host is cut off from
// the store.
TEST_CASE("a server that ends while another host has lost the store is gone at once", "[routing]")
{
    ServerSet set(seconds(2));
    set.apply({server("a"), server("b")}, start);
    set.outageReported(start + milliseconds(900));
    CHECK(set.apply({server("b")}, start + seconds(1)).gone.size() == 1);
    CHECK(set.isAuthoritative(start + seconds(1)));
}

// Guards against an old report that keeps servers which are gone.
TEST_CASE("an outage that another host noticed long ago keeps no servers", "[routing]")
{
    ServerSet set(seconds(2));
    set.apply({server("a")}, start);
    set.outageReported(start + seconds(1));
    CHECK(set.apply({}, start + seconds(3)).gone.size() == 1);
}

TEST_CASE("a missing entry means that the server is gone while the store is reachable", "[routing]")
{
    ServerSet set(seconds(2));
    set.apply({server("a"), server("b")}, start);
    CHECK(set.apply({server("b")}, start + seconds(1)).gone.size() == 1);
    // A server whose heartbeats were delayed registers itself again under the same id.
    CHECK(set.apply({server("a"), server("b")}, start + seconds(2)).found.size() == 1);
}

TEST_CASE("no reading makes a leaving server usable, in any order of readings", "[routing]")
{
    rc::prop("a server that was seen leaving is never usable", [] {
        ServerSet set(seconds(2));
        std::set<std::string> left;
        Base::TimePoint now = start;
        const int readings = *rc::gen::inRange(1, 30);
        for (int i = 0; i < readings; ++i) {
            now += milliseconds(*rc::gen::inRange(1, 3000));
            if (*rc::gen::weightedElement<bool>({{1, true}, {4, false}}))
                set.storeFailed(now);
            std::vector<RegisteredServer> listed;
            for (const std::string id : {"a", "b", "c"}) {
                const int what = *rc::gen::inRange(0, 3);
                if (what == 0)
                    continue;
                listed.push_back(server(id, what == 1));
                if (what == 1)
                    left.insert(id);
            }
            set.apply(listed, now);
            for (const std::string &id : left)
                RC_ASSERT(!set.usable(Base::ServerId(id)));
        }
    });
}

TEST_CASE("keys are accepted only for a limited time after the last confirmation", "[routing]")
{
    // A key is revoked while a host is cut off from the store. Guards against a host that considers
    // its configuration current until told otherwise, and still accepts the key seconds later.
    ConfigurationLease lease(milliseconds(3500));
    CHECK_FALSE(lease.isHeld(start));
    lease.confirm(start);
    CHECK(lease.isHeld(start + milliseconds(3499)));
    CHECK_FALSE(lease.isHeld(start + milliseconds(3500)));
    // A lease counts from the time at which the request was sent, and a late answer to an earlier
    // request changes nothing.
    lease.confirm(start + seconds(2));
    lease.confirm(start + seconds(1));
    CHECK(lease.isHeld(start + seconds(5)));
    CHECK_FALSE(lease.isHeld(start + milliseconds(5500)));
}

TEST_CASE("a host that was cut off from the store is not authoritative until its grace period ends",
          "[routing]")
{
    // A server ends without announcing it while a host that was cut off has just returned and reads
    // the store for its zone again. Guards against hosts that were connected all the time taking
    // over its set, which still contains the missing entry: two seconds later they would still send
    // requests to that server.
    ServerSet set(seconds(2));
    set.apply({server("a")}, start);
    CHECK(set.isAuthoritative(start));
    set.storeFailed(start + seconds(1));
    CHECK_FALSE(set.isAuthoritative(start + seconds(1)));
    set.apply({}, start + seconds(4));
    CHECK(set.usable(Base::ServerId("a")) != nullptr);
    CHECK_FALSE(set.isAuthoritative(start + seconds(5)));
    CHECK(set.isAuthoritative(start + seconds(6)));
}

TEST_CASE("a host that applies the changes of another one has the same servers", "[routing]")
{
    // Guards against sixty hosts that each read all entries of the store whenever one server starts
    // or leaves, because the reader of a zone reports that something changed, but not what.
    rc::prop("the fingerprints are equal after repeated and partly lost reports", [] {
        ServerSet reader(seconds(2));
        ServerSet other(seconds(2));
        Base::TimePoint now = start;
        std::set<int> listed;
        std::set<int> leaving;
        other.apply({}, now);
        reader.apply({}, now);
        for (int step = 0; step < 30; ++step) {
            now += milliseconds(200);
            if (step % 3 == 0) {
                const int id = *rc::gen::inRange(0, 6);
                switch (*rc::gen::inRange(0, 3)) {
                case 0:
                    listed.insert(id);
                    break;
                case 1:
                    listed.erase(id);
                    break;
                default:
                    leaving.insert(id);
                    break;
                }
                std::vector<RegisteredServer> entries;
                for (const int it : listed)
                    entries.push_back(server(std::to_string(it), leaving.count(it) > 0));
                reader.apply(entries, now);
            }
            // One report in four is lost, but never three in a row within the second for which a
            // change is reported.
            if (step % 4 != 3)
                other.applyChanges(reader.recentChanges(now), now);
        }
        now += milliseconds(200);
        other.applyChanges(reader.recentChanges(now), now);
        RC_ASSERT(other.fingerprint() == reader.fingerprint());
        ServerSet fresh(seconds(2));
        fresh.applyChanges(reader.asChanges(now), now);
        RC_ASSERT(fresh.fingerprint() == reader.fingerprint());
    });
}

TEST_CASE("the changes that a host reports do not grow with the servers", "[routing]")
{
    // Guards against a reader that sends the whole list to each host of its zone, five times a
    // second, when it starts: a gigabyte a second at ten thousand servers and a thousand hosts.
    for (const int n : {1000, 10000}) {
        std::vector<RegisteredServer> entries;
        for (int i = 0; i < n; ++i)
            entries.push_back(server(std::to_string(i)));
        ServerSet set(seconds(2));
        set.apply(entries, start);
        CHECK(set.recentChanges(start).size() <= 500);
        // A few changes later are told.
        entries.resize(static_cast<std::size_t>(n) - 3);
        set.apply(entries, start + seconds(2));
        CHECK(set.recentChanges(start + seconds(2)).size() == 3);
    }
}

TEST_CASE("the fingerprint of a list costs the same whatever the length of the list", "[routing]")
{
    // Guards against hosts that spend their processor on comparing lists: each compares them with
    // every report, many times a second.
    std::map<int, Base::Duration> times;
    for (const int n : {1000, 10000}) {
        std::vector<RegisteredServer> entries;
        for (int i = 0; i < n; ++i)
            entries.push_back(server(std::to_string(i)));
        ServerSet set(seconds(2));
        set.apply(entries, start);
        times[n] = leastCpuTime([&] {
            std::uint64_t sum = 0;
            for (int i = 0; i < 1000; ++i)
                sum += set.fingerprint();
            CHECK(sum == 1000 * set.fingerprint());
        });
    }
    CHECK(times[10000] < 3 * times[1000] + milliseconds(1));
}

TEST_CASE("a server that left is not usable again, whatever a late report says", "[routing]")
{
    ServerSet set(seconds(2));
    set.apply({server("a")}, start);
    using Kind = ServerChange::Kind;
    set.applyChanges({{Kind::Leaving, server("a")}}, start);
    CHECK(set.applyChanges({{Kind::Found, server("a")}}, start).isEmpty());
    CHECK(set.usable(Base::ServerId("a")) == nullptr);
    CHECK(set.recentChanges(start).size() == 2);
    CHECK(set.recentChanges(start + seconds(2)).empty());
}

TEST_CASE("a server that starts again under its name is another server", "[routing]")
{
    // A server loses its state in a restart. Guards against identifying it by its name only: while
    // its entry lives, it would get the prompts that it had cached before, on connections that are
    // dead.
    ServerSet set(seconds(2));
    const RegisteredServer before = startOf("a", milliseconds(100));
    const RegisteredServer after = startOf("a", milliseconds(200));
    set.apply({before}, start);
    const ServerChanges changes = set.apply({after}, start + seconds(1));
    CHECK(changes.gone == std::vector{before.id});
    CHECK(changes.found == std::vector{after.id});
    // Neither an older reading nor another host's report brings the earlier start back.
    set.apply({before}, start + seconds(2));
    CHECK(set.usable(before.id) == nullptr);
    set.apply({after}, start + seconds(3));
    set.applyChanges({{ServerChange::Kind::Found, before}}, start + seconds(3));
    CHECK(set.usable(before.id) == nullptr);
    CHECK(set.usable(after.id) != nullptr);
}

TEST_CASE("a server that left and starts again is used again", "[routing]")
{
    // A server is drained and restarted under its name. Guards against a mark of leaving that
    // belongs to the name and not to one start, with which the server never gets requests again
    // although it is ready.
    ServerSet set(seconds(2));
    set.apply({startOf("a", milliseconds(100))}, start);
    set.apply({startOf("a", milliseconds(100), true)}, start + seconds(1));
    const RegisteredServer after = startOf("a", milliseconds(200));
    CHECK(set.apply({after}, start + seconds(3)).found == std::vector{after.id});
    // What an older state of the store says about the start that left changes nothing.
    set.applyChanges({{ServerChange::Kind::Leaving, startOf("a", milliseconds(100), true)}},
                     start + seconds(3));
    CHECK(set.usable(after.id) != nullptr);
}

TEST_CASE("a start replaces the previous one just after the store's return too", "[routing]")
{
    // Missing entries are kept for two seconds after the store's return. The entry of a server that
    // started again in the meantime names it, so the previous start is gone at once.
    ServerSet set(seconds(2));
    const RegisteredServer before = startOf("a", milliseconds(100));
    set.apply({before, startOf("b", milliseconds(100))}, start);
    set.storeFailed(start + seconds(1));
    set.apply({startOf("a", milliseconds(200))}, start + seconds(2));
    CHECK(set.usable(before.id) == nullptr);
    CHECK(set.servers().size() == 2);
}

TEST_CASE("the latest start is used in any order of readings and reports", "[routing]")
{
    rc::prop("only the latest start that was seen is usable", [] {
        ServerSet set(seconds(2));
        std::map<std::string, milliseconds> latest;
        Base::TimePoint now = start;
        for (int i = 0; i < 25; ++i) {
            now += milliseconds(*rc::gen::inRange(1, 1500));
            std::vector<RegisteredServer> listed;
            for (const std::string name : {"a", "b"}) {
                const milliseconds at(*rc::gen::inRange(1, 6));
                listed.push_back(startOf(name, at, *rc::gen::inRange(0, 4) == 0));
                latest[name] = std::max(latest[name], at);
            }
            if (*rc::gen::arbitrary<bool>()) {
                set.apply(listed, now);
            } else {
                std::vector<ServerChange> changes;
                for (const RegisteredServer &it : listed)
                    changes.push_back({ServerChange::Kind::Found, it});
                set.applyChanges(changes, now);
            }
            for (const auto &[id, it] : set.servers())
                RC_ASSERT(it.start.at == latest[it.start.name]);
        }
    });
}

TEST_CASE("a server that warms up anew is reported with the time that remains", "[routing]")
{
    // Guards against a host that sends a server its usual requests although the server has just
    // become cold, because only hosts that read the store know of it.
    ServerSet reader(seconds(2));
    reader.apply({server("a"), server("b")}, start);
    RegisteredServer cold = server("a");
    cold.warmingUp = milliseconds(3000);
    const ServerChanges changes = reader.apply({cold, server("b")}, start + seconds(1));
    CHECK(changes.warmingUp == std::vector{Base::ServerId("a")});
    CHECK(reader.warmUntil(Base::ServerId("a")) == start + seconds(4));
    ServerSet other(seconds(2));
    other.apply({server("a"), server("b")}, start);
    const Base::TimePoint later = start + milliseconds(1600);
    const ServerChanges taken = other.applyChanges(reader.recentChanges(later), later);
    CHECK(taken.warmingUp == std::vector{Base::ServerId("a")});
    CHECK(other.warmUntil(Base::ServerId("a")) == start + seconds(4));
    // The same report arrives again a little later.
    const Base::TimePoint again = later + milliseconds(200);
    CHECK(other.applyChanges(reader.recentChanges(later), again).isEmpty());
}

TEST_CASE("an entry that a server has not written again does not prolong its warm-up", "[routing]")
{
    ServerSet set(seconds(2));
    RegisteredServer cold = server("a");
    cold.warmingUp = milliseconds(3000);
    set.apply({cold}, start);
    CHECK(set.apply({cold}, start + seconds(1)).isEmpty());
    CHECK(set.warmUntil(Base::ServerId("a")) == start + seconds(3));
    cold.warmingUp = milliseconds(1800);
    set.apply({cold}, start + seconds(2));
    CHECK(set.warmUntil(Base::ServerId("a")) == start + seconds(3));
    // The server becomes cold again.
    cold.warmingUp = milliseconds(3000);
    CHECK(set.apply({cold}, start + seconds(5)).warmingUp.size() == 1);
    CHECK(set.warmUntil(Base::ServerId("a")) == start + seconds(8));
}
