#include "storage/objectgateway.h"

#include "base/random.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace Storage;
using namespace std::chrono_literals;

namespace {

/// A store that loses, refuses and delays calls and duplicates answers at random.
class FaultyStore final : public ObjectStore
{
public:
    explicit FaultyStore(std::uint64_t seed)
        : random(seed)
    {}

    void put(OperationId operation, const std::string &, const std::string &value) override
    {
        if (scheduleAnswer(operation, ObjectStatus::Done))
            stored.insert(value);
    }
    void get(OperationId operation, const std::string &) override
    {
        scheduleAnswer(operation, ObjectStatus::Missing);
    }

    std::vector<ObjectOutcome> step(Base::TimePoint time)
    {
        now = time;
        std::vector<ObjectOutcome> due;
        while (!answers.empty() && answers.begin()->first <= now) {
            due.push_back(answers.begin()->second);
            answers.erase(answers.begin());
        }
        return due;
    }

    Base::SeededRandom random;
    Base::TimePoint now{};
    std::multimap<Base::TimePoint, ObjectOutcome> answers;
    std::set<std::string> stored;

private:
    bool scheduleAnswer(OperationId operation, ObjectStatus status)
    {
        const std::uint64_t roll = random.next() % 8;
        const Base::TimePoint at = now + std::chrono::milliseconds(random.next() % 1500);
        if (roll < 2)
            answers.insert({at, {operation, ObjectStatus::NotDone, {}}});
        else if (roll > 2)
            answers.insert({at, {operation, status, {}}});
        if (roll == 7)
            answers.insert({at + 300ms, {operation, status, {}}});
        return roll >= 2;
    }
};

} // namespace

// Guards against a put that is reported as not stored although it was stored, and against a call
// that ends twice. The store loses, delays and duplicates its answers.
TEST_CASE("each call of the object store has exactly one outcome, and the outcome is true")
{
    rc::prop("under loss, delay and duplication", [](std::uint64_t seed) {
        FaultyStore store(seed);
        Base::SeededRandom random(seed);
        const std::unique_ptr<ObjectGateway> gateway = *ObjectGateway::create({}, store, random);
        std::map<OperationId, std::vector<ObjectStatus>> outcomes;
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
                outcomes[outcome.operation].push_back(outcome.status);
        }
        RC_ASSERT(outcomes.size() == 200U);
        for (const auto &[id, statuses] : outcomes) {
            RC_ASSERT(statuses.size() == 1U);
            const bool isStored = store.stored.contains(std::to_string(id));
            if (statuses.front() == ObjectStatus::Done)
                RC_ASSERT(isStored);
            if (statuses.front() == ObjectStatus::NotDone)
                RC_ASSERT(!isStored);
        }
    });
}
