#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "platform/operationids.h"
#include "platform/tableservice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Claims {

/// What a caller marked as not repeatable: its customer, its key, the hash of its content.
struct ClaimSubject
{
    Base::CustomerId customer;
    std::string key;
    std::uint64_t contentHash = 0;
};

enum class ClaimVerdict {
    Claimed,     ///< This request owns the key and may be sent.
    Completed,   ///< It ran before; the stored answer is given.
    InProgress,  ///< Another request owns the key and may be running.
    Conflict,    ///< The key was used for other content.
    Undecidable, ///< It may have run; its owner is gone. "ran: unknown".
    Unavailable, ///< The table gave no claim; nothing ran through this request.
};

struct ClaimOutcome
{
    Base::RequestKey request;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    /// With Completed: the stored answer.
    std::string answer;
    /// Fencing number to send along with the work; grows with each owner of the key.
    std::uint64_t fence = 0;
};

struct ClaimPolicy
{
    Base::Duration lease = std::chrono::seconds(60);
    std::chrono::hours retention{24};
};

/// Claims in the platform's table for work that must run at most once. Thin version: one row
/// per key, no takeover, no batches.
class ClaimBook
{
public:
    static Base::Result<ClaimBook> create(const ClaimPolicy &policy, const Base::HostId &self,
                                          Base::Incarnation incarnation,
                                          Platform::TableService &table,
                                          Platform::OperationIds &operations,
                                          Base::RandomSource &random);

    void claim(const Base::RequestKey &request, const ClaimSubject &subject, Base::TimePoint now,
               Base::WallTime wallNow);
    /// Asked last before the work leaves: whether this process may still send it.
    bool maySend(const Base::RequestKey &request, Base::TimePoint now) const;
    /// The work ran; \a answer is kept for a repeat of the call.
    void complete(const Base::RequestKey &request, const std::string &answer, Base::TimePoint now);
    /// The work certainly did not run; the key is free again.
    void release(const Base::RequestKey &request, Base::TimePoint now);
    /// Whether it ran is not known; the claim stays.
    void abandon(const Base::RequestKey &request);

    void advance(Base::TimePoint now);
    bool handle(const Platform::TableOutcome &outcome, Base::TimePoint now);
    std::vector<ClaimOutcome> takeOutcomes();

private:
    struct Claim
    {
        ClaimSubject subject;
        std::string token;
        Platform::OperationId operation = 0;
        Platform::RowVersion row = 0;
        Base::TimePoint leaseEnd;
        bool isReading = false;
        bool isOwned = false;
    };

    ClaimBook(const ClaimPolicy &policy, const Base::HostId &self, Base::Incarnation incarnation,
              Platform::TableService &table, Platform::OperationIds &operations,
              Base::RandomSource &random);
    void finish(const Base::RequestKey &request, ClaimVerdict verdict, const std::string &answer);
    void judgeRow(const Base::RequestKey &request, Claim &claim, const Platform::TableRow *row);

    ClaimPolicy m_policy;
    Base::HostId m_self;
    Base::Incarnation m_incarnation;
    Platform::TableService *m_table;
    Platform::OperationIds *m_operations;
    Base::RandomSource *m_random;
    std::map<Base::RequestKey, Claim> m_claims;
    std::vector<ClaimOutcome> m_outcomes;
};

} // namespace Claims
