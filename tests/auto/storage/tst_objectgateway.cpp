#include "storage/objectgateway.h"

#include "base/random.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace Storage;
using namespace std::chrono_literals;

namespace {

/// A store that loses, refuses, delays and doubles by chance.
class FaultyStore final : public ObjectStore
{
public:
    explicit FaultyStore(std::uint64_t seed)
        : random(seed)
    {}

    void put(OperationId operation, const std::string &, const std::string &value) override
    {
        if (decide(operation, ObjectStatus::Done))
            stored.insert(value);
    }
    void get(OperationId operation, const std::string &) override
    {
        decide(operation, ObjectStatus::Missing);
    }

    std::vector<ObjectOutcome> step(Base::TimePoint time)
    {
        now = time;
        std::vector<ObjectOutcome> arrived;
        while (!answers.empty() && answers.begin()->first <= now) {
            arrived.push_back(answers.begin()->second);
            answers.erase(answers.begin());
        }
        return arrived;
    }

    Base::SeededRandom random;
    Base::TimePoint now{};
    std::multimap<Base::TimePoint, ObjectOutcome> answers;
    std::set<std::string> stored;

private:
    bool decide(OperationId operation, ObjectStatus status)
    {
        const std::uint64_t fate = random.next() % 8;
        const Base::TimePoint at = now + std::chrono::milliseconds(random.next() % 1500);
        if (fate < 2)
            answers.insert({at, {operation, ObjectStatus::NotDone, {}}});
        else if (fate > 2)
            answers.insert({at, {operation, status, {}}});
        if (fate == 7)
            answers.insert({at + 300ms, {operation, status, {}}});
        return fate >= 2;
    }
};

} // namespace

// An operator is told that an answer was not stored, and it was; or one call ends twice. The
// store loses, delays and doubles its answers.
TEST_CASE("one outcome for each call of the object store, and none is a lie")
{
    rc::prop("under loss, delay and doubling", [](std::uint64_t seed) {
        FaultyStore store(seed);
        Base::SeededRandom random(seed);
        const std::unique_ptr<ObjectGateway> gateway = *ObjectGateway::create({}, store, random);
        std::map<OperationId, std::vector<ObjectStatus>> ends;
        for (int i = 0; i < 600; ++i) {
            const Base::TimePoint now{i * 20ms};
            const auto id = static_cast<OperationId>(i) + 1;
            if (i < 300 && i % 3 == 0)
                gateway->put(id, "k", std::to_string(id));
            if (i < 300 && i % 3 == 1)
                gateway->get(id, "k");
            for (const ObjectOutcome &outcome : store.step(now))
                gateway->handle(outcome, now);
            gateway->advance(now);
            for (const ObjectOutcome &outcome : gateway->takeOutcomes())
                ends[outcome.operation].push_back(outcome.status);
        }
        RC_ASSERT(ends.size() == 200U);
        for (const auto &[id, statuses] : ends) {
            RC_ASSERT(statuses.size() == 1U);
            const bool isStored = store.stored.contains(std::to_string(id));
            if (statuses.front() == ObjectStatus::Done)
                RC_ASSERT(isStored);
            if (statuses.front() == ObjectStatus::NotDone)
                RC_ASSERT(!isStored);
        }
    });
}
