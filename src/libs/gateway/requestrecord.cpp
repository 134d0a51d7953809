#include "gateway/requestrecord.h"

#include "gateway/rejectiontext.h"

#include <cinttypes>
#include <cstdio>

namespace Gateway {

namespace {

void addBlockedPart(LogLine &line, const RequestRecord &record)
{
    if (record.blockedPart)
        line.add("part", hexText(*record.blockedPart));
}

/// Returns the hashes of the parts that other requests may share, which is all but the last one.
std::string sharedPartsText(const std::vector<Routing::PromptPart> &parts)
{
    std::string text;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        if (i > 0)
            text.append(",");
        text.append(hexText(parts[i].hash));
    }
    return text;
}

} // namespace

std::string hexText(std::uint64_t hash)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016" PRIx64, hash);
    return text;
}

LogLine refusedLine(const AcceptedRequest &accepted, const Failure &failure,
                    std::uint64_t configurationVersion)
{
    LogLine line("request.refused");
    line.add("request", accepted.requestId)
        .add("why", failureName(failure.type))
        .add("status", failureStatus(failure))
        .add("configuration", configurationVersion);
    return line;
}

LogLine attemptFailedLine(const AcceptedRequest &accepted, const RequestRecord &record,
                          const FailedAttempt &failed, std::uint64_t content, Base::TimePoint now)
{
    LogLine line("request.attempt_failed");
    line.add("request", accepted.requestId)
        .add("route", accepted.route->name)
        .add("content", hexText(content))
        .add("parts", sharedPartsText(accepted.work.parts))
        .add("version", record.attempt.softwareVersion)
        .add("server", record.attempt.server.value())
        .add("outcome", Routing::nameOf(failed.outcome))
        .add("maybeRan", failed.maybeRan)
        .add("repeats", failed.isRepeated)
        .add("sends", record.sends)
        .add("events", record.events)
        .add("afterMs", now - record.attempt.sentAt)
        .add("backoffMs", record.attempt.backoffLeft)
        .add("connection", record.attempt.connection)
        .add("fault", nameOf(record.attempt.fault))
        .add("endsWithConnection", record.attempt.endsWithConnection)
        .add("serverEnds", failed.serverEnds);
    addBlockedPart(line, record);
    return line;
}

LogLine requestEndLine(const AcceptedRequest &accepted, const RequestRecord &record,
                       const RequestEnd &end, Base::TimePoint now)
{
    const Base::TimePoint readAt = accepted.request.readAt;
    LogLine line("request.end");
    line.add("request", accepted.requestId)
        .add("route", accepted.route->name)
        .add("content", hexText(end.content))
        .add("customer", accepted.customer.value())
        .add("configuration", accepted.table->version())
        .add("configurationAgeMs", end.configurationAge)
        .add("outcome", end.outcome)
        .add("status", record.status)
        .add("cutOff", record.isCutOff)
        .add("server", record.attempt.server.value())
        .add("version", record.attempt.softwareVersion)
        .add("endsWithConnection", record.attempt.endsWithConnection)
        .add("sends", record.sends)
        .add("runs", record.possibleRuns)
        .add("events", record.events)
        .add("promptTokens", accepted.work.promptTokens)
        .add("outputTokens", accepted.work.outputTokens)
        .add("waitedMs", record.sends > 0 ? record.attempt.sentAt - readAt : Base::Duration(0))
        .add("unreadTokens", record.attempt.inputs.unreadTokens)
        .add("fetchedTokens", record.attempt.inputs.fetchedTokens)
        .add("fetchFrom", record.attempt.fetchFrom.value())
        .add("tokensAhead", record.attempt.inputs.tokensAhead)
        .add("running", record.attempt.inputs.running)
        .add("slowness", record.attempt.inputs.slowness)
        .add("failureShare", record.attempt.inputs.failureShare)
        .add("expectedMs", record.attempt.expectedStart)
        .add("firstMs", record.events > 0 ? record.firstEventAt - readAt : Base::Duration(0))
        .add("longestPauseMs", record.longestPause)
        .add("wholeMs", now - readAt);
    addBlockedPart(line, record);
    if (record.continuation)
        line.add("origin", Routing::nameOf(*record.continuation));
    if (record.rejection)
        addRejection(line, *record.rejection);
    return line;
}

} // namespace Gateway
