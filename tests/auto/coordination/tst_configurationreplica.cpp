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

/// The object store as one copy of the truth, with answers that wait.
class Objects final : public Storage::ObjectStore
{
public:
    explicit Objects(std::map<std::string, std::string> &values)
        : m_values(&values)
    {}
    void put(Storage::OperationId operation, const std::string &key,
             const std::string &value) override
    {
        (*m_values)[key] = value;
        answers.push_back({operation, Storage::ObjectStatus::Done, {}});
    }
    void get(Storage::OperationId operation, const std::string &key) override
    {
        const bool isThere = m_values->count(key) > 0;
        answers.push_back({operation,
                           isThere ? Storage::ObjectStatus::Done : Storage::ObjectStatus::Missing,
                           isThere ? m_values->at(key) : std::string()});
    }

    std::deque<Storage::ObjectOutcome> answers;

private:
    std::map<std::string, std::string> *m_values;
};

struct Router
{
    Router(Fakes::Table &truth, std::map<std::string, std::string> &values, const std::string &name,
           const ConfigurationPolicy &policy)
        : table(truth)
        , objects(values)
        , replica(*ConfigurationReplica::create(policy, table, objects, operations, name))
    {}

    void answer(std::size_t at, Fakes::Fate fate, Base::TimePoint now)
    {
        replica.handle(table.end(at, fate), now);
    }
    /// Advances and answers all calls until none waits.
    void settle(Base::TimePoint now, Fakes::Fate fate)
    {
        replica.advance(now);
        while (table.waiting() > 0 || !objects.answers.empty()) {
            if (table.waiting() > 0)
                answer(0, fate, now);
            while (!objects.answers.empty()) {
                replica.handle(objects.answers.front(), now);
                objects.answers.pop_front();
            }
        }
    }

    Storage::OperationIds operations;
    Fakes::ManualTable table;
    Objects objects;
    ConfigurationReplica replica;
};

struct AskedWrite
{
    std::string name;
    ConfigurationVersion seen = 0;
    int startWithin = 0;
};

/// Several routers, one table, and what operators asked and were told.
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
        routers[i] = std::make_unique<Router>(truth, objects, name, policy);
        routers[i]->replica.advance(now);
    }

    void ask(std::size_t at, int workClass, ConfigurationVersion age)
    {
        ConfigurationReplica &replica = routers[at]->replica;
        const ConfigurationVersion version = replica.configuration().version();
        const std::uint64_t handle = ++m_lastHandle;
        const std::string name = "class" + std::to_string(workClass);
        asked[handle] = {name, version - std::min(version, age), int(handle)};
        replica.writeTarget(handle,
                            {Base::ClassId(name), Base::Milliseconds(int(handle)), std::nullopt},
                            asked[handle].seen, now);
    }

    void collect()
    {
        for (auto &router : routers) {
            for (const TargetWriteResult &result : router->replica.takeWriteResults())
                told[result.handle].push_back(result);
        }
    }

    /// The version at which a write took effect; 0 if it did not.
    ConfigurationVersion effectOf(std::uint64_t handle) const
    {
        ConfigurationVersion effect = 0;
        for (const auto &[version, target] : history()) {
            if (target.startWithin.count() != asked.at(handle).startWithin)
                continue;
            RC_ASSERT(effect == 0);
            effect = version;
        }
        return effect;
    }

    std::map<ConfigurationVersion, Settings::ClassTarget> history() const
    {
        std::map<ConfigurationVersion, Settings::ClassTarget> targets;
        for (const auto &[key, row] : truth.rows) {
            const ConfigurationVersion version = Settings::versionOfKey(key);
            if (version == 0)
                continue;
            const auto change = Settings::decodeChange(version, row.value);
            targets[version] = std::get<Settings::ClassTarget>(change->what);
        }
        return targets;
    }

    Settings::Configuration replay(ConfigurationVersion to) const
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
    Fakes::Table truth;
    std::map<std::string, std::string> objects;
    std::vector<std::unique_ptr<Router>> routers;
    std::map<std::uint64_t, AskedWrite> asked;
    std::map<std::uint64_t, std::vector<TargetWriteResult>> told;
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
        operators.collect();
        operators.restart(at);
    } else if (what <= 3) {
        operators.ask(at, *rc::gen::inRange(0, 2), *rc::gen::inRange<ConfigurationVersion>(0, 3));
    } else if (what == 4) {
        operators.now += std::chrono::milliseconds(*rc::gen::inRange(1, 1500));
        for (auto &each : operators.routers)
            each->replica.advance(operators.now);
    } else if (what == 5) {
        router.table.flushLate();
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
        const auto fate =
            *rc::gen::weightedElement<Fakes::Fate>({{10, Fakes::Fate::Answered},
                                                    {2, Fakes::Fate::AnsweredFromBefore},
                                                    {1, Fakes::Fate::Refused},
                                                    {1, Fakes::Fate::LostBefore},
                                                    {2, Fakes::Fate::LostAfter},
                                                    {2, Fakes::Fate::LostAndLate}});
        router.answer(call, fate, operators.now);
    }
    operators.collect();
}

void checkTold(const Operators &operators)
{
    for (const auto &[handle, results] : operators.told) {
        RC_ASSERT(results.size() == 1);
        const TargetWriteResult &result = results.front();
        const AskedWrite &asked = operators.asked.at(handle);
        const ConfigurationVersion effect = operators.effectOf(handle);
        if (result.status == TargetWriteStatus::Accepted)
            RC_ASSERT(effect == result.version);
        if (result.status == TargetWriteStatus::LostRace
            || result.status == TargetWriteStatus::Unavailable)
            RC_ASSERT(effect == 0);
        // Behind a snapshot it cannot be told whether a class that is not there was removed.
        const bool isTold = operators.replay(result.version).target(Base::ClassId(asked.name))
                            || !operators.hasSnapshot;
        if (result.status == TargetWriteStatus::LostRace && isTold)
            RC_ASSERT(operators.isChanged(asked.name, asked.seen, ~ConfigurationVersion(0)));
        if (effect != 0)
            RC_ASSERT(!operators.isChanged(asked.name, asked.seen, effect));
    }
}

} // namespace

// Operators race at several routers while the table loses answers, answers late and refuses.
// One would see "saved" for a target that is not there, "failed" for one that is, or a target
// that goes back; the causes are lost answers, stale reads and a head that has moved.
TEST_CASE("operators are told the truth and no router's copy goes back", "[configuration]")
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
                RC_ASSERT(copy == operators.replay(copy.version()));
            }
        }
        // All comes through again: late writes land, every write gets its answer.
        for (int i = 0; i < 12; ++i) {
            operators.now += 1s;
            for (auto &router : operators.routers) {
                router->table.flushLate();
                router->settle(operators.now, Fakes::Fate::Answered);
            }
            operators.collect();
        }
        checkTold(operators);
        const ConfigurationVersion newest = operators.history().size();
        for (auto &router : operators.routers)
            RC_ASSERT(router->replica.configuration().version() == newest);
    });
}

TEST_CASE("a lost answer is read back and told as accepted, once", "[configuration]")
{
    Operators operators(1);
    Router &router = *operators.routers[0];
    router.settle(operators.now, Fakes::Fate::Answered);
    operators.ask(0, 0, 0);
    router.answer(0, Fakes::Fate::Answered, operators.now);
    router.answer(0, Fakes::Fate::LostAfter, operators.now);
    operators.collect();
    CHECK(operators.told.empty());
    operators.now += 300ms;
    router.settle(operators.now, Fakes::Fate::Answered);
    operators.collect();
    REQUIRE(operators.told[1].size() == 1);
    CHECK(operators.told[1][0].status == TargetWriteStatus::Accepted);
    CHECK(operators.history().size() == 1);
}

// The first transaction is slow; its row is not there when it is looked for, so it is sent
// again, and meets the head that the first one has moved meanwhile.
TEST_CASE("a write that lands while it is sent again is accepted, not a lost race",
          "[configuration]")
{
    Operators operators(1);
    Router &router = *operators.routers[0];
    router.settle(operators.now, Fakes::Fate::Answered);
    operators.ask(0, 0, 0);
    router.answer(0, Fakes::Fate::Answered, operators.now);
    router.answer(0, Fakes::Fate::LostAndLate, operators.now);
    operators.now += 300ms;
    router.replica.advance(operators.now);
    router.answer(0, Fakes::Fate::Answered, operators.now);
    router.table.flushLate();
    router.settle(operators.now, Fakes::Fate::Answered);
    operators.collect();
    REQUIRE(operators.told[1].size() == 1);
    CHECK(operators.told[1][0].status == TargetWriteStatus::Accepted);
}

TEST_CASE("a write whose answer does not come in time is told as unknown", "[configuration]")
{
    Operators operators(1);
    Router &router = *operators.routers[0];
    router.settle(operators.now, Fakes::Fate::Answered);
    operators.ask(0, 0, 0);
    router.answer(0, Fakes::Fate::Answered, operators.now);
    router.replica.advance(operators.now + operators.policy.writeDeadline);
    operators.collect();
    REQUIRE(operators.told[1].size() == 1);
    CHECK(operators.told[1][0].status == TargetWriteStatus::Unknown);
}

// One operator removes a class; another, who still sees it, sets it through a router that
// has only a snapshot. The class must not come back.
TEST_CASE("a class that may have been removed since is not written", "[configuration]")
{
    Operators operators(1);
    Settings::Configuration snapshot;
    snapshot.setVersion(7);
    operators.routers[0]->replica.applySnapshot(snapshot);
    operators.ask(0, 0, 1);
    operators.collect();
    REQUIRE(operators.told[1].size() == 1);
    CHECK(operators.told[1][0].status == TargetWriteStatus::LostRace);
}

TEST_CASE("two operators at two routers do not disturb each other's classes", "[configuration]")
{
    Operators operators(2);
    for (auto &router : operators.routers)
        router->settle(operators.now, Fakes::Fate::Answered);
    operators.ask(0, 0, 0);
    operators.ask(1, 1, 0);
    for (auto &router : operators.routers) {
        router->answer(0, Fakes::Fate::Answered, operators.now);
    }
    for (auto &router : operators.routers)
        router->settle(operators.now, Fakes::Fate::Answered);
    operators.collect();
    CHECK(operators.told[1][0].status == TargetWriteStatus::Accepted);
    CHECK(operators.told[2][0].status == TargetWriteStatus::Accepted);
}

// The table is down while a router starts: it must neither serve nothing nor an old state that
// the first peer happens to have.
TEST_CASE("a cold start with the table down takes the newest that its peers know",
          "[configuration]")
{
    Operators operators(3);
    for (int i = 0; i < 5; ++i) {
        operators.ask(0, 0, 0);
        operators.routers[0]->settle(operators.now, Fakes::Fate::Answered);
    }
    const Settings::Configuration newest = operators.routers[0]->replica.configuration();
    REQUIRE(newest.version() == 5);
    operators.routers[1]->replica.applyChanges(operators.routers[0]->replica.changesAfter(0, 2));
    Router &cold = *operators.routers[2];
    cold.settle(operators.now, Fakes::Fate::LostBefore);
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
    // The table stays down: what is in force stays, and a write is told so at once.
    operators.ask(2, 0, 0);
    cold.settle(operators.now + 1s, Fakes::Fate::Refused);
    operators.collect();
    REQUIRE(operators.told[6].size() == 1);
    CHECK(operators.told[6][0].status == TargetWriteStatus::Unavailable);
    CHECK(cold.replica.configuration() == newest);
}

// 62,000 changes a day: the table must not grow for ever, and a cold start must not read all.
TEST_CASE("old change rows are replaced by a snapshot, and a cold start finds its way",
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
        operators.ask(0, i % 3, 0);
        operators.routers[0]->settle(operators.now, Fakes::Fate::Answered);
    }
    CHECK(operators.history().size() <= 50 + 20);
    CHECK(operators.objects.size() == 3);
    CHECK(operators.routers[0]->replica.changesAfter(0, 10).empty());
    CHECK(operators.routers[0]->replica.changesAfter(150, 10).size() == 10);
    for (int i = 0; i < 3; ++i)
        operators.routers[1]->settle(operators.now += 1s, Fakes::Fate::Answered);
    CHECK(operators.routers[1]->replica.isReady());
    CHECK(operators.routers[1]->replica.configuration()
          == operators.routers[0]->replica.configuration());
}
