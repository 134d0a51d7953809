#include "routing/configurationlease.h"
#include "routing/serverset.h"

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

TEST_CASE("a server that was seen leaving gets no work again", "[routing]")
{
    // A caller's request fails at a server that has just exited. The server said that it leaves,
    // then a reading of an older state of the store still shows it as ready, and the host takes
    // it back. Cause: the newest reading was believed about a state that is final.
    ServerSet set(seconds(2));
    set.apply({server("a"), server("b")}, start);
    const ServerChanges changes = set.apply({server("a", true), server("b")}, start + seconds(1));
    CHECK(changes.leaving == std::vector{Base::ServerId("a")});
    set.apply({server("a"), server("b")}, start + seconds(2));
    CHECK(set.usable(Base::ServerId("a")) == nullptr);
    CHECK(set.usable(Base::ServerId("b")) != nullptr);
}

TEST_CASE("entries that lapse while the store is away are kept until two seconds after its return",
          "[routing]")
{
    // All requests are turned away for seconds after an outage of the store. The servers ran all
    // the while, but their entries lapsed, and the first reading shows an empty list. Cause: a
    // missing entry was taken for a server that is gone.
    ServerSet set(seconds(2));
    set.apply({server("a"), server("b")}, start);
    set.storeFailed(start + seconds(1));
    CHECK(set.apply({}, start + seconds(5)).isEmpty());
    CHECK(set.usable(Base::ServerId("a")) != nullptr);
    set.apply({server("b")}, start + seconds(6));
    CHECK(set.usable(Base::ServerId("a")) != nullptr);
    // Still missing after that: it is gone, and the other one is not.
    const ServerChanges changes = set.apply({server("b")}, start + seconds(7) + milliseconds(1));
    CHECK(changes.gone == std::vector{Base::ServerId("a")});
    CHECK(set.usable(Base::ServerId("b")) != nullptr);
}

TEST_CASE("what another host calls gone is kept too while the store has just come back",
          "[routing]")
{
    // After a short outage callers get 503 from a host that keeps the servers whose entries lapsed
    // in it. Another host of its zone had no call open in the outage, reads a list without them,
    // and reports them as gone, again and again. Cause: the report was believed at once.
    ServerSet set(seconds(2));
    set.apply({server("a")}, start);
    set.storeFailed(start + milliseconds(100));
    set.apply({}, start + milliseconds(300));
    const std::vector<ServerChange> gone{{ServerChange::Kind::Gone, server("a")}};
    CHECK(set.applyChanges(gone, start + milliseconds(500)).isEmpty());
    CHECK(set.usable(Base::ServerId("a")) != nullptr);
    // A server that says that it leaves does so whatever the store did.
    set.applyChanges({{ServerChange::Kind::Leaving, server("a")}}, start + milliseconds(600));
    CHECK(set.usable(Base::ServerId("a")) == nullptr);
}

TEST_CASE("what another host calls gone is kept by one that has just lost the store", "[routing]")
{
    // As above, but the report comes before this host has read the list again: it has met the
    // outage, has no news of the return, and drops all servers. Callers get 503 at once.
    ServerSet set(seconds(2));
    set.apply({server("a")}, start);
    set.storeFailed(start + milliseconds(100));
    set.applyChanges({{ServerChange::Kind::Gone, server("a")}}, start + milliseconds(500));
    CHECK(set.usable(Base::ServerId("a")) != nullptr);
}

TEST_CASE("a host that the store turns away for long believes one that reads it", "[routing]")
{
    // The store is well and turns this host away: who reads it knows which servers are gone.
    ServerSet set(seconds(2));
    set.apply({server("a")}, start);
    set.storeFailed(start + milliseconds(100));
    set.storeFailed(start + milliseconds(1900));
    set.applyChanges({{ServerChange::Kind::Gone, server("a")}}, start + milliseconds(2100));
    CHECK(set.usable(Base::ServerId("a")) == nullptr);
}

// Guards against a pool without servers after an outage that this host's own calls did not meet.
TEST_CASE("entries that lapse in an outage that another host met are kept for the same time",
          "[routing]")
{
    ServerSet set(seconds(2));
    set.apply({server("a"), server("b"), server("c")}, start);
    set.outageReported(start + seconds(4));
    // An older one that is heard of later changes nothing.
    set.outageReported(start + seconds(1));
    CHECK(set.apply({server("c")}, start + seconds(5)).gone.empty());
    CHECK_FALSE(set.isAuthoritative(start + seconds(5)));
    CHECK(set.apply({server("c")}, start + milliseconds(6999)).gone.empty());
    CHECK(set.apply({server("c")}, start + seconds(7)).gone.size() == 2);
}

// Guards against requests to a server that left, kept because some host is cut off from the store.
TEST_CASE("a server that ends while another host has lost the store is gone at once", "[routing]")
{
    ServerSet set(seconds(2));
    set.apply({server("a"), server("b")}, start);
    set.outageReported(start + milliseconds(900));
    CHECK(set.apply({server("b")}, start + seconds(1)).gone.size() == 1);
    CHECK(set.isAuthoritative(start + seconds(1)));
}

// Guards against a report of long ago that keeps servers which are gone.
TEST_CASE("an outage that another host met long ago keeps no servers", "[routing]")
{
    ServerSet set(seconds(2));
    set.apply({server("a")}, start);
    set.outageReported(start + seconds(1));
    CHECK(set.apply({}, start + seconds(3)).gone.size() == 1);
}

TEST_CASE("a missing entry means gone at once while the store is well", "[routing]")
{
    ServerSet set(seconds(2));
    set.apply({server("a"), server("b")}, start);
    CHECK(set.apply({server("b")}, start + seconds(1)).gone.size() == 1);
    // A server whose heartbeats were held up registers itself again under the same id.
    CHECK(set.apply({server("a"), server("b")}, start + seconds(2)).found.size() == 1);
}

TEST_CASE("no reading brings a leaving server back, in any order of readings", "[routing]")
{
    rc::prop("once seen leaving, never usable", [] {
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

TEST_CASE("keys are used only for a time after the last proof", "[routing]")
{
    // A key is taken away while a host is cut off from the store; seconds later the host still
    // serves requests with it. Cause: it took its configuration for current until told otherwise.
    ConfigurationLease lease(milliseconds(3500));
    CHECK_FALSE(lease.isHeld(start));
    lease.confirm(start);
    CHECK(lease.isHeld(start + milliseconds(3499)));
    CHECK_FALSE(lease.isHeld(start + milliseconds(3500)));
    // An answer counts from when its question was sent, and a late older one changes nothing.
    lease.confirm(start + seconds(2));
    lease.confirm(start + seconds(1));
    CHECK(lease.isHeld(start + seconds(5)));
    CHECK_FALSE(lease.isHeld(start + milliseconds(5500)));
}

TEST_CASE("a host that was cut off from the store is not settled until its grace is over",
          "[routing]")
{
    // A server ends without a word, and two seconds later hosts that were in touch with the store
    // all the time still send to it. A host that had been cut off came back just before, was again
    // the one that reads for its zone, and still kept entries that were missing.
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

TEST_CASE("a host that takes changes from another one has the same servers", "[routing]")
{
    // Sixty hosts each read all entries of the store whenever one server starts or leaves. Cause:
    // the reader of a zone told that something had changed, but not what.
    rc::prop("reports repeated, some lost: same set, or fingerprints differ", [] {
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
            // One report in four is lost; never three in a row within the second that it is told.
            if (step % 4 != 3)
                other.applyChanges(reader.recentChanges(now), now);
        }
        now += milliseconds(200);
        other.applyChanges(reader.recentChanges(now), now);
        RC_ASSERT(other.fingerprint() == reader.fingerprint());
    });
}

TEST_CASE("a server that leaves stays left whatever a late report says", "[routing]")
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

TEST_CASE("a server that starts again under its name is another one", "[routing]")
{
    // A server is empty after a restart, but for as long as its entry lives it gets the prompts
    // that it kept before, on connections that are dead. Cause: only its name was looked at.
    ServerSet set(seconds(2));
    const RegisteredServer before = startOf("a", milliseconds(100));
    const RegisteredServer after = startOf("a", milliseconds(200));
    set.apply({before}, start);
    const ServerChanges changes = set.apply({after}, start + seconds(1));
    CHECK(changes.gone == std::vector{before.id});
    CHECK(changes.found == std::vector{after.id});
    // An older reading, or another host's report, does not bring the earlier start back.
    set.apply({before}, start + seconds(2));
    CHECK(set.usable(before.id) == nullptr);
    set.apply({after}, start + seconds(3));
    set.applyChanges({{ServerChange::Kind::Found, before}}, start + seconds(3));
    CHECK(set.usable(before.id) == nullptr);
    CHECK(set.usable(after.id) != nullptr);
}

TEST_CASE("a server that left and starts again is used again", "[routing]")
{
    // A server is emptied, restarted under its name, and never gets work again although it is
    // ready. Cause: the mark of leaving belonged to the name and not to one start.
    ServerSet set(seconds(2));
    set.apply({startOf("a", milliseconds(100))}, start);
    set.apply({startOf("a", milliseconds(100), true)}, start + seconds(1));
    const RegisteredServer after = startOf("a", milliseconds(200));
    CHECK(set.apply({after}, start + seconds(3)).found == std::vector{after.id});
    // What an older state of the store says of the start that left changes nothing.
    set.applyChanges({{ServerChange::Kind::Leaving, startOf("a", milliseconds(100), true)}},
                     start + seconds(3));
    CHECK(set.usable(after.id) != nullptr);
}

TEST_CASE("a start that replaces another one does so while the store has just come back",
          "[routing]")
{
    // Entries that are missing are kept for two seconds after the store's return. A server that
    // started again meanwhile is named by its entry, so the start before it is gone at once.
    ServerSet set(seconds(2));
    const RegisteredServer before = startOf("a", milliseconds(100));
    set.apply({before, startOf("b", milliseconds(100))}, start);
    set.storeFailed(start + seconds(1));
    set.apply({startOf("a", milliseconds(200))}, start + seconds(2));
    CHECK(set.usable(before.id) == nullptr);
    CHECK(set.servers().size() == 2);
}

TEST_CASE("in any order of readings and reports the latest start is the one in use", "[routing]")
{
    rc::prop("no start that is older than one seen before is usable", [] {
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
