#include "claims/claimrow.h"

#include "untrusted/jsonbytes.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace Claims {

namespace {

using Json = nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

/// Latest accepted time, the year 2200. From 2262 on, nanoseconds since 1970 overflow 63 bits.
constexpr std::uint64_t latestTimeMs = 7'258'118'400'000ULL;

constexpr const char *claimedName = "claimed";
constexpr const char *completedName = "completed";
constexpr const char *releasedName = "released";

const char *stateName(ClaimState state)
{
    switch (state) {
    case ClaimState::Claimed:
        return claimedName;
    case ClaimState::Completed:
        return completedName;
    case ClaimState::Released:
        break;
    }
    return releasedName;
}

std::optional<ClaimState> stateOf(const std::string &name)
{
    if (name == claimedName)
        return ClaimState::Claimed;
    if (name == completedName)
        return ClaimState::Completed;
    if (name == releasedName)
        return ClaimState::Released;
    return std::nullopt;
}

std::int64_t toJson(Base::WallTime time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

std::optional<std::string> text(const Json &json, const char *name)
{
    const auto it = json.find(name);
    if (it == json.end() || !it->is_string())
        return std::nullopt;
    return it->get<std::string>();
}

std::optional<std::uint64_t> number(const Json &json, const char *name)
{
    const auto it = json.find(name);
    if (it == json.end() || !it->is_number_unsigned())
        return std::nullopt;
    return it->get<std::uint64_t>();
}

std::optional<Base::WallTime> time(const Json &json, const char *name)
{
    const std::optional<std::uint64_t> value = number(json, name);
    if (!value || *value > latestTimeMs)
        return std::nullopt;
    return Base::WallTime(Milliseconds(static_cast<std::int64_t>(*value)));
}

Json jsonOf(const ClaimRow &row)
{
    Json json{{"state", stateName(row.state)},
              {"token", row.token},
              {"owner", row.owner.value()},
              {"incarnation", row.incarnation},
              {"hash", row.contentHash},
              {"fence", row.fence},
              {"leaseUntil", toJson(row.leaseUntil)},
              {"retainUntil", toJson(row.retainUntil)}};
    if (row.isAnswerKept)
        json["answer"] = row.answer;
    return json;
}

} // namespace

std::string claimKey(const ClaimSubject &subject)
{
    // The length prefix keeps subjects distinct even if their names contain slashes.
    const std::string &customer = subject.customer.value();
    return claimPrefix + std::to_string(customer.size()) + ':' + customer + '/' + subject.key;
}

std::string encodeClaim(const ClaimRow &row)
{
    Json json = jsonOf(row);
    try {
        return json.dump();
    } catch (const Json::type_error &) {
        // The answer is not valid UTF-8. Storing it would change it, and a changed answer must not
        // be replayed.
        json.erase("answer");
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
}

Base::Result<ClaimRow> decodeClaim(const std::string &value)
{
    const Json json = Untrusted::readJson(value);
    if (!json.is_object())
        return boost::leaf::new_error(MalformedClaimRow{});
    const auto state = stateOf(text(json, "state").value_or(std::string()));
    const auto token = text(json, "token");
    const auto owner = text(json, "owner");
    const auto incarnation = number(json, "incarnation");
    const auto hash = number(json, "hash");
    const auto fence = number(json, "fence");
    const auto leaseUntil = time(json, "leaseUntil");
    const auto retainUntil = time(json, "retainUntil");
    const bool isComplete =
        state && token && owner && incarnation && hash && fence && leaseUntil && retainUntil;
    if (!isComplete)
        return boost::leaf::new_error(MalformedClaimRow{});
    const auto answer = text(json, "answer");
    return ClaimRow{*state,
                    *token,
                    Base::HostId(*owner),
                    *incarnation,
                    *hash,
                    *fence,
                    *leaseUntil,
                    *retainUntil,
                    answer.has_value(),
                    answer.value_or(std::string())};
}

} // namespace Claims
