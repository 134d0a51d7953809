#include "claims/claimbook.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Claims {

namespace {

using Json = nlohmann::json;

std::string rowKey(const ClaimSubject &subject)
{
    return "claim/" + subject.customer.value() + '/' + subject.key;
}

std::string rowText(const ClaimSubject &subject, const std::string &token, const char *state,
                    const std::string &answer)
{
    return Json{
        {"state", state}, {"token", token}, {"hash", subject.contentHash}, {"answer", answer}}
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

Base::Result<ClaimBook> ClaimBook::create(const ClaimPolicy &policy, const Base::HostId &self,
                                          Base::Incarnation incarnation,
                                          Platform::TableService &table,
                                          Platform::OperationIds &operations,
                                          Base::RandomSource &random)
{
    return ClaimBook(policy, self, incarnation, table, operations, random);
}

ClaimBook::ClaimBook(const ClaimPolicy &policy, const Base::HostId &self,
                     Base::Incarnation incarnation, Platform::TableService &table,
                     Platform::OperationIds &operations, Base::RandomSource &random)
    : m_policy(policy)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_table(&table)
    , m_operations(&operations)
    , m_random(&random)
{}

void ClaimBook::claim(const Base::RequestKey &request, const ClaimSubject &subject,
                      Base::TimePoint now, Base::WallTime)
{
    Claim claim;
    claim.subject = subject;
    claim.token = m_self.value() + '-' + std::to_string(m_incarnation) + '-'
                  + std::to_string(m_random->next());
    claim.operation = m_operations->next();
    claim.leaseEnd = now + m_policy.lease;
    m_claims[request] = claim;
    m_table->transact(
        claim.operation,
        {{rowKey(subject), rowText(subject, claim.token, "claimed", {}), Platform::absentRow}});
}

bool ClaimBook::maySend(const Base::RequestKey &request, Base::TimePoint now) const
{
    const auto it = m_claims.find(request);
    return it != m_claims.end() && it->second.isOwned && now < it->second.leaseEnd;
}

void ClaimBook::complete(const Base::RequestKey &request, const std::string &answer,
                         Base::TimePoint)
{
    const auto it = m_claims.find(request);
    if (it == m_claims.end() || !it->second.isOwned)
        return;
    const Claim &claim = it->second;
    m_table->transact(m_operations->next(),
                      {{rowKey(claim.subject),
                        rowText(claim.subject, claim.token, "completed", answer), claim.row}});
    m_claims.erase(it);
}

void ClaimBook::release(const Base::RequestKey &request, Base::TimePoint)
{
    const auto it = m_claims.find(request);
    if (it == m_claims.end())
        return;
    if (it->second.isOwned)
        m_table->transact(m_operations->next(),
                          {{rowKey(it->second.subject), std::nullopt, it->second.row}});
    m_claims.erase(it);
}

void ClaimBook::abandon(const Base::RequestKey &request)
{
    m_claims.erase(request);
}

void ClaimBook::advance(Base::TimePoint) {}

bool ClaimBook::handle(const Platform::TableOutcome &outcome, Base::TimePoint)
{
    for (auto &[request, claim] : m_claims) {
        if (claim.operation != outcome.operation)
            continue;
        if (claim.isReading) {
            judgeRow(request, claim, outcome.rows.empty() ? nullptr : &outcome.rows.front());
            return true;
        }
        if (outcome.status == Platform::TableStatus::Done) {
            claim.isOwned = true;
            claim.row = outcome.rows.empty() ? 0 : outcome.rows.front().version;
            finish(request, ClaimVerdict::Claimed, {});
            return true;
        }
        if (outcome.status == Platform::TableStatus::NotDone) {
            finish(request, ClaimVerdict::Unavailable, {});
            m_claims.erase(request);
            return true;
        }
        // Conflict: somebody's row; Unknown: it may be our own. Both are told by reading back.
        claim.isReading = true;
        claim.operation = m_operations->next();
        m_table->read(claim.operation, rowKey(claim.subject));
        return true;
    }
    return false;
}

std::vector<ClaimOutcome> ClaimBook::takeOutcomes()
{
    return std::exchange(m_outcomes, {});
}

void ClaimBook::finish(const Base::RequestKey &request, ClaimVerdict verdict,
                       const std::string &answer)
{
    m_outcomes.push_back({request, verdict, answer, 0});
}

void ClaimBook::judgeRow(const Base::RequestKey &request, Claim &claim,
                         const Platform::TableRow *row)
{
    const Json json = row ? Json::parse(row->value, nullptr, false) : Json();
    if (!json.is_object()) {
        finish(request, ClaimVerdict::Unavailable, {});
        m_claims.erase(request);
        return;
    }
    if (json.value("hash", std::uint64_t{0}) != claim.subject.contentHash) {
        finish(request, ClaimVerdict::Conflict, {});
        m_claims.erase(request);
        return;
    }
    if (json.value("token", std::string()) == claim.token) {
        claim.isOwned = true;
        claim.isReading = false;
        claim.row = row->version;
        finish(request, ClaimVerdict::Claimed, {});
        return;
    }
    const bool isCompleted = json.value("state", std::string()) == "completed";
    finish(request, isCompleted ? ClaimVerdict::Completed : ClaimVerdict::InProgress,
           json.value("answer", std::string()));
    m_claims.erase(request);
}

} // namespace Claims
