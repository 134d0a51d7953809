#include "base/memorybudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

using namespace Base;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t megabyte = 1U << 20;

TimePoint at(int ms)
{
    return TimePoint(milliseconds(ms));
}

/// A request of a peer that gives way when it is told to.
class Request final : public MemoryHolder
{
public:
    Request(MemoryBudget &budget, int sinceMs)
        : reservation(budget, *this, at(sinceMs))
    {}
    bool giveWay() override
    {
        hasYielded = true;
        return true;
    }

    bool hasYielded = false;
    MemoryBudget::Reservation reservation;
};

} // namespace

TEST_CASE("incomplete requests together stay within the budget", "[base]")
{
    // Guards against a crowd whose requests are each within their limit and end the process
    // together.
    MemoryBudget budget(8 * megabyte);
    std::vector<std::unique_ptr<Request>> crowd;
    for (int i = 0; i < 100; ++i) {
        crowd.push_back(std::make_unique<Request>(budget, i));
        CHECK(crowd.back()->reservation.resize(megabyte, at(i)));
        CHECK(budget.usedBytes() <= budget.bytes());
    }
    CHECK(budget.yields() == 93);
    CHECK(crowd.front()->hasYielded);
    CHECK_FALSE(crowd.back()->hasYielded);
    crowd.clear();
    CHECK(budget.usedBytes() == 0);
}

TEST_CASE("a request that gets on is served beside a crowd that stands still", "[base]")
{
    // Guards against a crowd that keeps everybody else out for as long as it stays.
    MemoryBudget budget(8 * megabyte);
    std::vector<std::unique_ptr<Request>> crowd;
    for (int i = 0; i < 7; ++i) {
        crowd.push_back(std::make_unique<Request>(budget, 0));
        CHECK(crowd.back()->reservation.resize(megabyte, at(0)));
    }
    Request honest(budget, 1000);
    for (int ms = 1000; ms <= 1080; ms += 10)
        CHECK(honest.reservation.resize(static_cast<std::size_t>(ms - 999) * 50000, at(ms)));
    CHECK_FALSE(honest.hasYielded);
}

TEST_CASE("who occupies most is refused and drives nobody else out", "[base]")
{
    MemoryBudget budget(8 * megabyte);
    Request old(budget, 0);
    REQUIRE(old.reservation.resize(4 * megabyte, at(1000)));
    Request young(budget, 900);
    REQUIRE(young.reservation.resize(2 * megabyte, at(1000)));
    CHECK_FALSE(old.reservation.resize(6 * megabyte, at(1000)));
    CHECK(old.reservation.bytes() == 4 * megabyte);
    CHECK_FALSE(young.hasYielded);
    CHECK(budget.refusals() == 1);
}

TEST_CASE("a whole request that is handled does not give way", "[base]")
{
    // Guards against a 503 to a request that runs.
    MemoryBudget budget(8 * megabyte);
    Request handled(budget, 0);
    REQUIRE(handled.reservation.resize(6 * megabyte, at(0)));
    handled.reservation.keep();
    Request next(budget, 5000);
    CHECK_FALSE(next.reservation.resize(2 * megabyte, at(5000)));
    CHECK_FALSE(handled.hasYielded);
    handled.reservation.release();
    CHECK(next.reservation.resize(2 * megabyte, at(5000)));
}

TEST_CASE("a whole request goes before incomplete ones", "[base]")
{
    MemoryBudget budget(8 * megabyte);
    Request young(budget, 90);
    REQUIRE(young.reservation.resize(6 * megabyte, at(100)));
    Request whole(budget, 0);
    whole.reservation.keep();
    CHECK(whole.reservation.resize(4 * megabyte, at(100)));
    CHECK(young.hasYielded);
}

TEST_CASE("large requests leave memory to small ones", "[base]")
{
    // Guards against a host at which nobody is served, since whole bodies wait for slow servers.
    MemoryBudget budget(8 * megabyte);
    std::vector<std::unique_ptr<Request>> crowd;
    for (int i = 0; i < 100; ++i) {
        crowd.push_back(std::make_unique<Request>(budget, 0));
        crowd.back()->reservation.keep();
        if (!crowd.back()->reservation.resize(100'000, at(0)))
            break;
    }
    CHECK(crowd.size() < 100);
    for (int i = 0; i < 64; ++i) {
        crowd.push_back(std::make_unique<Request>(budget, 0));
        CHECK(crowd.back()->reservation.resize(MemoryBudget::smallBytes, at(0)));
    }
}

TEST_CASE("one request of any size within the budget is served in calm", "[base]")
{
    MemoryBudget budget(8 * megabyte);
    Request slow(budget, 0);
    for (int s = 0; s < 20; ++s)
        CHECK(slow.reservation.resize(static_cast<std::size_t>(s + 1) * 200'000, at(1000 * s)));
    slow.reservation.keep();
    CHECK_FALSE(slow.hasYielded);
    CHECK(budget.yields() == 0);
}

TEST_CASE("a reservation waits for memory that another thread frees", "[base]")
{
    // Guards against a sum beyond the budget while the holders that gave way still have theirs.
    MemoryBudget budget(8 * megabyte);
    class Threaded final : public MemoryHolder
    {
    public:
        bool giveWay() override
        {
            isAsked = true;
            return false;
        }
        std::atomic<bool> isAsked = false;
    } old;
    bool hasGrown = true;
    std::thread thread([&] {
        MemoryBudget::Reservation reservation(budget, old, at(0));
        reservation.resize(7 * megabyte, at(0));
        while (!old.isAsked)
            std::this_thread::yield();
        hasGrown = reservation.resize(8 * megabyte, at(10));
    });
    while (budget.usedBytes() == 0)
        std::this_thread::yield();
    Request next(budget, 10);
    CHECK(next.reservation.resize(megabyte, at(10)));
    CHECK(budget.usedBytes() == megabyte);
    thread.join();
    CHECK_FALSE(hasGrown);
}

TEST_CASE("what is reserved and returned adds up", "[base]")
{
    rc::prop("the sum stays within the budget and ends at zero", [](const std::vector<int> &steps) {
        MemoryBudget budget(megabyte);
        std::vector<std::unique_ptr<Request>> requests;
        int ms = 0;
        for (const int step : steps) {
            ms += 10;
            const auto size = static_cast<std::size_t>(std::abs(step % 1000)) * 400;
            if (step % 3 == 0 || requests.empty())
                requests.push_back(std::make_unique<Request>(budget, ms));
            Request &it = *requests[size % requests.size()];
            if (step % 5 == 0)
                it.reservation.keep();
            if (step % 7 == 0)
                it.reservation = {};
            it.reservation.resize(size, at(ms));
            std::size_t sum = 0;
            for (const auto &other : requests)
                sum += other->reservation.bytes();
            RC_ASSERT(sum == budget.usedBytes());
            RC_ASSERT(sum <= budget.bytes());
        }
        requests.clear();
        RC_ASSERT(budget.usedBytes() == 0);
    });
}
