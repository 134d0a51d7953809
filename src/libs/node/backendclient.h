#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "scheduling/concurrencylimiter.h"
#include "storage/hostlist.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Node {

/// Identifies one attempt of one request. An answer to an older attempt is dropped.
struct AttemptId
{
    Base::RequestKey request;
    std::uint32_t number = 0;

    auto operator<=>(const AttemptId &) const = default;
    bool operator==(const AttemptId &) const = default;
};

enum class WorkKind { ChatCompletion, ServiceCall };

/// One attempt as it is sent to a backend server.
struct BackendRequest
{
    AttemptId attempt;
    Base::ServerId server;
    /// Address of the server as "IP:PORT".
    std::string address;
    WorkKind kind = WorkKind::ChatCompletion;
    /// Path of a service call, with a leading slash.
    std::string path;
    std::string contentType;
    std::string body;
    std::string traceparent;
    /// Idempotency key of work that is not repeatable. It is forwarded to the server.
    std::string idempotencyKey;
    /// Fencing token of the claim; 0 if the work has no claim. A server can reject work that
    /// carries an older token.
    std::uint64_t fence = 0;
    /// Name of the stream at the server if a stream is resumed; else empty.
    std::string resumeStream;
    /// Index of the first event to send again.
    std::uint64_t resumeFrom = 0;
};

/// How far a failed attempt got.
enum class SendState {
    NeverSent, ///< No byte of the request was sent, so it did not run.
    Refused,   ///< The server reported that it did not run the request.
    MaybeRan,  ///< The request was sent in whole or in part, so it may have run.
};

/// One event of a model's stream or one piece of a service's answer.
struct BackendPart
{
    AttemptId attempt;
    /// Index in the stream, from 0. A part that is not the next one is dropped.
    std::uint64_t index = 0;
    std::string payload;
    /// Weighted tokens that this part adds to the service received.
    Base::ServiceUnits units = 0;
};

/// Start of an answer: status and headers.
struct BackendHead
{
    AttemptId attempt;
    int status = 200;
    std::string contentType;
    /// Name under which the server can resume the stream; empty if it cannot.
    std::string streamName;
};

/// Successful end of an answer.
struct BackendFinished
{
    AttemptId attempt;
    /// Number of parts of the whole answer, to detect missing ones.
    std::uint64_t parts = 0;
};

/// Failed end of an attempt.
struct BackendFailed
{
    AttemptId attempt;
    SendState sent = SendState::MaybeRan;
    /// HTTP status if the server answered with an error, else 0.
    int status = 0;
    std::optional<Base::Milliseconds> retryAfter;
};

/// Result of polling the load of a server.
struct BackendLoad
{
    Base::ServerId server;
    bool isReachable = false;
    Scheduling::LoadReport report;
};

/// Sends work to backend servers. All calls return immediately. Each send() is followed by at most
/// one BackendHead, any number of BackendPart, and exactly one BackendFinished or BackendFailed.
class BackendClient
{
public:
    virtual ~BackendClient() = default;
    virtual void send(const BackendRequest &request) = 0;
    virtual void cancel(const AttemptId &attempt) = 0;
    /// Stops reading the answer, as backpressure from a slow caller; resume() continues it.
    virtual void pause(const AttemptId &attempt) = 0;
    virtual void resume(const AttemptId &attempt) = 0;
    /// Requests the load of a server. One BackendLoad follows.
    virtual void pollLoad(const Base::ServerId &server, const std::string &address) = 0;
};

} // namespace Node
