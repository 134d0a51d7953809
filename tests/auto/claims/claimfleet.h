#pragma once

#include "claims/claimregistry.h"
#include "storage/tablegateway.h"
#include "support/faultytable.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

/// Several routers that share one table and one backend server, under a virtual clock.
namespace ClaimFleet {

using namespace std::chrono_literals;

/// A call that reached the backend server.
struct SentCall
{
    std::string key;
    Base::RequestKey request;
    std::uint64_t fence = 0;
    bool hasRun = true;
};

struct Verdict
{
    Claims::ClaimOutcome outcome;
    Claims::ClaimSubject subject;
};

/// One router with its claim registry and its table gateway. It sends the work that it has
/// claimed, and completes, releases or abandons the claims.
class Router
{
public:
    Router(Fakes::Table &table, const std::string &name, std::uint64_t seed,
           const Claims::ClaimPolicy &policy = {})
        : below(table, seed)
        , random(seed)
        , gateway(std::move(*Storage::TableGateway::create({}, below, random)))
        , registry(std::move(*Claims::ClaimRegistry::create(policy, Base::HostId(name), seed,
                                                            *gateway, ids, random)))
        , m_name(name)
    {}

    Base::RequestKey claim(const std::string &key, std::uint64_t hash, Base::TimePoint now,
                           const std::string &customer = "c")
    {
        Base::RequestKey request{Base::HostId(m_name), 1, ++m_serial};
        const Claims::ClaimSubject subject{Base::CustomerId(customer), key, hash};
        m_work[request].subject = subject;
        registry.claim(request, subject, now, wall(now));
        return request;
    }

    /// Returns the calendar time of this router, which differs from the virtual clock by \a skew.
    Base::WallTime wall(Base::TimePoint now) const
    {
        return Base::WallTime(std::chrono::hours(500000))
               + std::chrono::duration_cast<Base::WallTime::duration>(now.time_since_epoch()
                                                                      + skew);
    }

    void step(Base::TimePoint now, std::vector<SentCall> &sentCalls, std::vector<Verdict> &verdicts)
    {
        for (const Storage::TableOutcome &outcome : below.step(now))
            m_inbox.push_back(outcome);
        if (isCrashed || now < frozenUntil)
            return;
        for (const Storage::TableOutcome &outcome : std::exchange(m_inbox, {}))
            gateway->handle(outcome, now);
        registry.advance(now);
        for (int i = 0; i < 3; ++i) {
            gateway->advance(now);
            for (const Storage::TableOutcome &outcome : gateway->takeOutcomes())
                handle(outcome, now);
        }
        for (const Claims::ClaimOutcome &outcome : registry.takeOutcomes())
            handleOutcome(outcome, now, verdicts);
        for (auto it = m_work.begin(); it != m_work.end();)
            it = stepWork(it->first, it->second, now, sentCalls) ? m_work.erase(it) : std::next(it);
    }

    bool isOpen(const Base::RequestKey &request) const { return m_work.contains(request); }

    Fakes::FaultyTable below;
    Base::SeededRandom random;
    Storage::OperationIds ids;
    std::unique_ptr<Storage::TableGateway> gateway;
    Claims::ClaimRegistry registry;
    Base::Duration skew{};
    Base::TimePoint frozenUntil{};
    bool isCrashed = false;
    /// Length of the freezes between the maySend() check and the sending.
    Base::Duration freezeBeforeSend{};
    /// Longest wait for a permit, and longest run of the work.
    Base::Duration longestWait = 2s;
    /// Number of completed table calls that are not the registry's.
    std::size_t otherCallsDone = 0;
    /// Keys whose claims were abandoned on purpose.
    std::vector<std::string> abandoned;

private:
    struct Work
    {
        Claims::ClaimSubject subject;
        std::optional<Base::TimePoint> sendAt;
        std::optional<Base::TimePoint> endAt;
        std::uint64_t fence = 0;
        bool isChecked = false;
        bool hasRun = true;
    };

    void handle(const Storage::TableOutcome &outcome, Base::TimePoint now)
    {
        const bool isDone = outcome.status == Storage::TableStatus::Done;
        if (!registry.handle(outcome, now) && isDone)
            ++otherCallsDone;
    }

    Base::Duration randomDelay()
    {
        return Base::Duration(random.next() % static_cast<std::uint64_t>(longestWait.count()));
    }

    void handleOutcome(const Claims::ClaimOutcome &outcome, Base::TimePoint now,
                       std::vector<Verdict> &verdicts)
    {
        Work &work = m_work.at(outcome.request);
        verdicts.push_back({outcome, work.subject});
        if (outcome.verdict == Claims::ClaimVerdict::Claimed) {
            work.fence = outcome.fence;
            work.sendAt = now + randomDelay();
        } else {
            m_work.erase(outcome.request);
        }
    }

    /// Returns whether the request has ended.
    bool stepWork(const Base::RequestKey &request, Work &work, Base::TimePoint now,
                  std::vector<SentCall> &sentCalls)
    {
        if (work.endAt && now >= *work.endAt) {
            end(request, work, now);
            return true;
        }
        if (work.endAt || !work.sendAt || now < *work.sendAt)
            return false;
        if (!work.isChecked && !registry.maySend(request, now)) {
            registry.release(request, now);
            return true;
        }
        // The work is sent one step after the check, and some routers freeze in between.
        if (!std::exchange(work.isChecked, true)) {
            if (random.next() % 8 == 0)
                frozenUntil = now + freezeBeforeSend;
            return false;
        }
        work.hasRun = random.next() % 4 != 0;
        sentCalls.push_back({work.subject.key, request, work.fence, work.hasRun});
        work.endAt = now + randomDelay();
        return false;
    }

    void end(const Base::RequestKey &request, const Work &work, Base::TimePoint now)
    {
        if (!work.hasRun) {
            // The backend server reported that the work did not run.
            registry.release(request, now);
        } else if (random.next() % 4 == 0) {
            abandoned.push_back(work.subject.key);
            registry.abandon(request);
        } else {
            registry.complete(request, work.subject.key + std::to_string(work.subject.contentHash),
                              now);
        }
    }

    std::string m_name;
    std::uint64_t m_serial = 0;
    std::map<Base::RequestKey, Work> m_work;
    std::vector<Storage::TableOutcome> m_inbox;
};

struct Fleet
{
    explicit Fleet(std::uint64_t seed, std::size_t routers = 3,
                   const Claims::ClaimPolicy &policy = {})
        : random(seed)
    {
        for (std::size_t i = 0; i < routers; ++i)
            this->routers.push_back(
                std::make_unique<Router>(table, "r" + std::to_string(i), random.next(), policy));
    }

    Router &router(std::size_t i) { return *routers.at(i); }

    void run(Base::Duration duration, Base::Duration stride = 10ms)
    {
        for (const Base::TimePoint end = now + duration; now < end;) {
            now += stride;
            for (const auto &it : routers)
                it->step(now, sentCalls, verdicts);
        }
    }

    std::optional<Claims::ClaimOutcome> outcome(const Base::RequestKey &request) const
    {
        std::optional<Claims::ClaimOutcome> found;
        for (const Verdict &it : verdicts) {
            if (it.outcome.request == request)
                found = it.outcome;
        }
        return found;
    }

    /// Claims \a key at router \a i and returns the outcome.
    Claims::ClaimOutcome ask(std::size_t i, const std::string &key, std::uint64_t hash = 1)
    {
        const Base::RequestKey request = router(i).claim(key, hash, now);
        run(500ms);
        return outcome(request).value();
    }

    Claims::ClaimRow row(const std::string &key)
    {
        const auto it = table.rows.find(Claims::claimKey({Base::CustomerId("c"), key, 0}));
        return it == table.rows.end() ? Claims::ClaimRow()
                                      : Claims::decodeClaim(it->second.value).value();
    }

    Fakes::Table table;
    Base::SeededRandom random;
    std::vector<std::unique_ptr<Router>> routers;
    Base::TimePoint now{};
    std::vector<SentCall> sentCalls;
    std::vector<Verdict> verdicts;
};

} // namespace ClaimFleet
