#include "coordination/configurationreplica.h"

#include "settings/changecodec.h"
#include "support/manualtable.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <memory>

namespace {

using namespace std::chrono_literals;
using namespace Coordination;
using Settings::ConfigurationVersion;

/// An object store on a map that several routers share. Its answers wait until the test delivers
/// them.
class ManualObjectStore final : public Storage::ObjectStore
{
public:
    explicit ManualObjectStore(std::map<std::string, std::string> &storedObjects)
        : m_storedObjects(&storedObjects)
    {}
    void put(Storage::OperationId operation, const std::string &key,
             const std::string &value) override
    {
        (*m_storedObjects)[key] = value;
        answers.push_back({operation, Storage::ObjectStatus::Done, {}});
    }
    void get(Storage::OperationId operation, const std::string &key) override
    {
        const bool isThere = m_storedObjects->count(key) > 0;
        answers.push_back({operation,
                           isThere ? Storage::ObjectStatus::Done : Storage::ObjectStatus::Missing,
                           isThere ? m_storedObjects->at(key) : std::string()});
    }

    std::deque<Storage::ObjectOutcome> answers;

private:
    std::map<std::string, std::string> *m_storedObjects;
};

struct Router
{
    Router(Fakes::Table &sharedTable, std::map<std::string, std::string> &storedObjects,
           const std::string &name, const ConfigurationPolicy &policy)
        : table(sharedTable)
        , objects(storedObjects)
        , replica(*ConfigurationReplica::create(policy, table, objects, operations, name))
    {}

    void answer(std::size_t at, Fakes::Completion completion, Base::TimePoint now)
    {
        replica.handle(table.end(at, completion), now);
    }
    /// Advances and answers all calls with \a fate until none waits.
    void settle(Base::TimePoint now, Fakes::Completion completion)
    {
        replica.advance(now);
        while (table.waiting() > 0 || !objects.answers.empty()) {
            if (table.waiting() > 0)
                answer(0, completion, now);
            while (!objects.answers.empty()) {
                replica.handle(objects.answers.front(), now);
                objects.answers.pop_front();
            }
        }
    }

    Storage::OperationIds operations;
    Fakes::ManualTable table;
    ManualObjectStore objects;
    ConfigurationReplica replica;
};

struct RequestedWrite
{
    std::string name;
    ConfigurationVersion seen = 0;
    int startWithin = 0;
};

/// Several routers with one shared table, and the writes that operators have requested with their
/// results.
class Operators
{
public:
    explicit Operators(std::size_t count)
    {
        routers.resize(count);
        for (std::size_t i = 0; i < count; ++i)
            restart(i);
    }

    void restart(std::size_t i)
    {
        const std::string name = "r" + std::to_string(i) + '-' + std::to_string(++m_starts);
        routers[i] = std::make_unique<Router>(sharedTable, objects, name, policy);
        routers[i]->replica.advance(now);
    }

    void requestWrite(std::size_t at, int workClass, ConfigurationVersion age)
    {
        ConfigurationReplica &replica = routers[at]->replica;
        const ConfigurationVersion version = replica.configuration().version();
        const std::uint64_t handle = ++m_lastHandle;
        const std::string name = "class" + std::to_string(workClass);
        requested[handle] = {name, version - std::min(version, age), int(handle)};
        replica.writeTarget(handle,
                            {Base::ClassId(name), Base::Milliseconds(int(handle)), std::nullopt},
                            requested[handle].seen, now);
    }

    void collectResults()
    {
        for (auto &router : routers) {
            for (const TargetWriteResult &result : router->replica.takeWriteResults())
                results[result.handle].push_back(result);
        }
    }

    /// Returns the version at which a write took effect, or 0 if it did not.
    ConfigurationVersion effectOf(std::uint64_t handle) const
    {
        ConfigurationVersion effect = 0;
        for (const auto &[version, target] : history()) {
            if (target.startWithin.count() != requested.at(handle).startWithin)
                continue;
            RC_ASSERT(effect == 0);
            effect = version;
        }
        return effect;
    }

    std::map<ConfigurationVersion, Settings::ClassTarget> history() const
    {
        std::map<ConfigurationVersion, Settings::ClassTarget> targets;
        for (const auto &[key, row] : sharedTable.rows) {
            const ConfigurationVersion version = Settings::versionOfKey(key);
            if (version == 0)
                continue;
            const auto change = Settings::decodeChange(version, row.value);
            targets[version] = std::get<Settings::ClassTarget>(change->what);
        }
        return targets;
    }

    Settings::Configuration configurationAt(ConfigurationVersion to) const
    {
        Settings::Configuration configuration;
        for (const auto &[version, target] : history()) {
            if (version <= to)
                configuration.apply({version, target});
        }
        return configuration;
    }

    bool isChanged(const std::string &name, ConfigurationVersion after,
                   ConfigurationVersion before) const
    {
        for (const auto &[version, target] : history()) {
            if (version > after && version < before && target.name.value() == name)
                return true;
        }
        return false;
    }

    ConfigurationPolicy policy;
    Fakes::Table sharedTable;
    std::map<std::string, std::string> objects;
    std::vector<std::unique_ptr<Router>> routers;
    std::map<std::uint64_t, RequestedWrite> requested;
    std::map<std::uint64_t, std::vector<TargetWriteResult>> results;
    Base::TimePoint now{1s};
    bool hasSnapshot = false;

private:
    int m_starts = 0;
    std::uint64_t m_lastHandle = 0;
};

void step(Operators &operators)
{
    const auto at = *rc::gen::inRange<std::size_t>(0, operators.routers.size());
    Router &router = *operators.routers[at];
    const int what = *rc::gen::inRange(0, 16);
    if (what == 0 && *rc::gen::inRange(0, 4) == 0) {
        operators.collectResults();
        operators.restart(at);
    } else if (what <= 3) {
        operators.requestWrite(at, *rc::gen::inRange(0, 2),
                               *rc::gen::inRange<ConfigurationVersion>(0, 3));
    } else if (what == 4) {
        operators.now += std::chrono::milliseconds(*rc::gen::inRange(1, 1500));
        for (auto &each : operators.routers)
            each->replica.advance(operators.now);
    } else if (what == 5) {
        router.table.applyLate();
    } else if (what <= 7) {
        const auto from = *rc::gen::inRange<std::size_t>(0, operators.routers.size());
        const ConfigurationVersion behind = *rc::gen::inRange<ConfigurationVersion>(0, 3);
        const ConfigurationVersion own = router.replica.configuration().version();
        router.replica.applyChanges(operators.routers[from]->replica.changesAfter(
            own - std::min(own, behind), *rc::gen::inRange<std::size_t>(0, 5)));
        operators.hasSnapshot = operators.hasSnapshot || what == 7;
        if (what == 7)
            router.replica.applySnapshot(operators.routers[from]->replica.configuration());
    } else if (router.table.waiting() > 0) {
        const auto call = *rc::gen::inRange<std::size_t>(0, router.table.waiting());
        const auto completion =
            *rc::gen::weightedElement<Fakes::Completion>({{10, Fakes::Completion::Answered},
                                                          {2, Fakes::Completion::StaleRead},
                                                          {1, Fakes::Completion::Refused},
                                                          {1, Fakes::Completion::RequestLost},
                                                          {2, Fakes::Completion::AnswerLost},
                                                          {2, Fakes::Completion::AppliedLate}});
        router.answer(call, completion, operators.now);
    }
    operators.collectResults();
}

void checkResults(const Operators &operators)
{
    for (const auto &[handle, writeResults] : operators.results) {
        RC_ASSERT(writeResults.size() == 1);
        const TargetWriteResult &result = writeResults.front();
        const RequestedWrite &requested = operators.requested.at(handle);
        const ConfigurationVersion effect = operators.effectOf(handle);
        if (result.status == TargetWriteStatus::Accepted)
            RC_ASSERT(effect == result.version);
        if (result.status == TargetWriteStatus::LostRace
            || result.status == TargetWriteStatus::Unavailable)
            RC_ASSERT(effect == 0);
        // After a snapshot it cannot be decided whether a class that does not exist was removed.
        const bool isVerifiable =
            operators.configurationAt(result.version).target(Base::ClassId(requested.name))
            || !operators.hasSnapshot;
        if (result.status == TargetWriteStatus::LostRace && isVerifiable)
            RC_ASSERT(
                operators.isChanged(requested.name, requested.seen, ~ConfigurationVersion(0)));
        if (effect != 0)
            RC_ASSERT(!operators.isChanged(requested.name, requested.seen, effect));
    }
}

} // namespace

// Guards against wrong results and reverted targets: operators race at several routers while the
// table loses answers, answers late or refuses. Lost answers, stale reads or a moved head could
// report a target as written that is not, or as failed that is written, or make a copy revert.
TEST_CASE("operators get true results and no router's copy reverts", "[configuration]")
{
    rc::prop("writes, copies and answers agree with the table", [] {
        Operators operators(3);
        std::vector<ConfigurationVersion> last(3, 0);
        const int steps = *rc::gen::inRange(1, 120);
        for (int i = 0; i < steps; ++i) {
            std::vector<Router *> before;
            for (auto &router : operators.routers)
                before.push_back(router.get());
            step(operators);
            for (std::size_t at = 0; at < 3; ++at) {
                const Settings::Configuration &copy =
                    operators.routers[at]->replica.configuration();
                if (before[at] == operators.routers[at].get())
                    RC_ASSERT(copy.version() >= last[at]);
                last[at] = copy.version();
                RC_ASSERT(copy == operators.configurationAt(copy.version()));
            }
        }
        // The faults end: late writes take effect and every write gets its answer.
        for (int i = 0; i < 12; ++i) {
            operators.now += 1s;
            for (auto &router : operators.routers) {
                router->table.applyLate();
                router->settle(operators.now, Fakes::Completion::Answered);
            }
            operators.collectResults();
        }
        checkResults(operators);
        const ConfigurationVersion newest = operators.history().size();
        for (auto &router : operators.routers)
            RC_ASSERT(router->replica.configuration().version() == newest);
    });
}

TEST_CASE("a write whose answer was lost is read back and reported as accepted once",
          "[configuration]")
{
    Operators operators(1);
    Router &router = *operators.routers[0];
    router.settle(operators.now, Fakes::Completion::Answered);
    operators.requestWrite(0, 0, 0);
    router.answer(0, Fakes::Completion::Answered, operators.now);
    router.answer(0, Fakes::Completion::AnswerLost, operators.now);
    operators.collectResults();
    CHECK(operators.results.empty());
    operators.now += 300ms;
    router.settle(operators.now, Fakes::Completion::Answered);
    operators.collectResults();
    REQUIRE(operators.results[1].size() == 1);
    CHECK(operators.results[1][0].status == TargetWriteStatus::Accepted);
    CHECK(operators.history().size() == 1);
}

// The first transaction is slow. Its row is missing when it is read back, so the transaction is
// sent again and fails because the first one has moved the head meanwhile.
TEST_CASE("a write that takes effect while it is sent again is accepted, not a lost race",
          "[configuration]")
{
    Operators operators(1);
    Router &router = *operators.routers[0];
    router.settle(operators.now, Fakes::Completion::Answered);
    operators.requestWrite(0, 0, 0);
    router.answer(0, Fakes::Completion::Answered, operators.now);
    router.answer(0, Fakes::Completion::AppliedLate, operators.now);
    operators.now += 300ms;
    router.replica.advance(operators.now);
    router.answer(0, Fakes::Completion::Answered, operators.now);
    router.table.applyLate();
    router.settle(operators.now, Fakes::Completion::Answered);
    operators.collectResults();
    REQUIRE(operators.results[1].size() == 1);
    CHECK(operators.results[1][0].status == TargetWriteStatus::Accepted);
}

TEST_CASE("a write without an answer before the deadline is reported as unknown", "[configuration]")
{
    Operators operators(1);
    Router &router = *operators.routers[0];
    router.settle(operators.now, Fakes::Completion::Answered);
    operators.requestWrite(0, 0, 0);
    router.answer(0, Fakes::Completion::Answered, operators.now);
    router.replica.advance(operators.now + operators.policy.writeDeadline);
    operators.collectResults();
    REQUIRE(operators.results[1].size() == 1);
    CHECK(operators.results[1][0].status == TargetWriteStatus::Unknown);
}

// Guards against a removed class that reappears: one operator removes it, and another, who still
// sees it, sets it through a router that has only a snapshot.
TEST_CASE("a class that may have been removed since is not written", "[configuration]")
{
    Operators operators(1);
    Settings::Configuration snapshot;
    snapshot.setVersion(7);
    operators.routers[0]->replica.applySnapshot(snapshot);
    operators.requestWrite(0, 0, 1);
    operators.collectResults();
    REQUIRE(operators.results[1].size() == 1);
    CHECK(operators.results[1][0].status == TargetWriteStatus::LostRace);
}

TEST_CASE("two operators at two routers can write different classes at the same time",
          "[configuration]")
{
    Operators operators(2);
    for (auto &router : operators.routers)
        router->settle(operators.now, Fakes::Completion::Answered);
    operators.requestWrite(0, 0, 0);
    operators.requestWrite(1, 1, 0);
    for (auto &router : operators.routers) {
        router->answer(0, Fakes::Completion::Answered, operators.now);
    }
    for (auto &router : operators.routers)
        router->settle(operators.now, Fakes::Completion::Answered);
    operators.collectResults();
    CHECK(operators.results[1][0].status == TargetWriteStatus::Accepted);
    CHECK(operators.results[2][0].status == TargetWriteStatus::Accepted);
}

// The table is down while a router starts. The router must become ready from its peers, and must
// not serve the old state of the first peer that answers.
TEST_CASE("a cold start with the table down uses the newest configuration of its peers",
          "[configuration]")
{
    Operators operators(3);
    for (int i = 0; i < 5; ++i) {
        operators.requestWrite(0, 0, 0);
        operators.routers[0]->settle(operators.now, Fakes::Completion::Answered);
    }
    const Settings::Configuration newest = operators.routers[0]->replica.configuration();
    REQUIRE(newest.version() == 5);
    operators.routers[1]->replica.applyChanges(operators.routers[0]->replica.changesAfter(0, 2));
    Router &cold = *operators.routers[2];
    cold.settle(operators.now, Fakes::Completion::RequestLost);
    CHECK_FALSE(cold.replica.isReady());
    cold.replica.recordPeerVersion(Base::HostId("r0"), 5, operators.now);
    cold.replica.recordPeerVersion(Base::HostId("r1"), 2, operators.now);
    CHECK_FALSE(cold.replica.duePull(operators.now));
    cold.replica.applyChanges(operators.routers[1]->replica.changesAfter(0, 9));
    CHECK_FALSE(cold.replica.isReady());
    REQUIRE(cold.replica.duePull(operators.now) == Base::HostId("r0"));
    cold.replica.applySnapshot(newest);
    CHECK(cold.replica.isReady());
    CHECK(cold.replica.configuration() == newest);
    // The table stays down: the configuration stays in force, and a write fails at once.
    operators.requestWrite(2, 0, 0);
    cold.settle(operators.now + 1s, Fakes::Completion::Refused);
    operators.collectResults();
    REQUIRE(operators.results[6].size() == 1);
    CHECK(operators.results[6][0].status == TargetWriteStatus::Unavailable);
    CHECK(cold.replica.configuration() == newest);
}

// With 62,000 changes a day the table must not grow without limit, and a cold start must not
// read all changes.
TEST_CASE("old change rows are replaced by a snapshot, from which a cold start recovers",
          "[configuration]")
{
    Operators operators(2);
    ConfigurationPolicy policy;
    policy.compactEvery = 50;
    policy.keptRows = 20;
    policy.keptChanges = 30;
    operators.policy = policy;
    for (std::size_t i = 0; i < 2; ++i)
        operators.restart(i);
    for (int i = 0; i < 170; ++i) {
        operators.now += 61s;
        operators.requestWrite(0, i % 3, 0);
        operators.routers[0]->settle(operators.now, Fakes::Completion::Answered);
    }
    CHECK(operators.history().size() <= 50 + 20);
    CHECK(operators.objects.size() == 3);
    CHECK(operators.routers[0]->replica.changesAfter(0, 10).empty());
    CHECK(operators.routers[0]->replica.changesAfter(150, 10).size() == 10);
    for (int i = 0; i < 3; ++i)
        operators.routers[1]->settle(operators.now += 1s, Fakes::Completion::Answered);
    CHECK(operators.routers[1]->replica.isReady());
    CHECK(operators.routers[1]->replica.configuration()
          == operators.routers[0]->replica.configuration());
}
