#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "scheduling/concurrencylimiter.h"
#include "storage/hostlist.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Node {

/// One attempt at one request. An answer that names an older attempt is dropped.
struct AttemptId
{
    Base::RequestKey request;
    std::uint32_t number = 0;

    auto operator<=>(const AttemptId &) const = default;
    bool operator==(const AttemptId &) const = default;
};

enum class WorkKind { ChatCompletion, ServiceCall };

/// What is sent to a backend server.
struct BackendRequest
{
    AttemptId attempt;
    Base::ServerId server;
    /// "IP:PORT".
    std::string address;
    WorkKind kind = WorkKind::ChatCompletion;
    /// Path of a service call, with a leading slash.
    std::string path;
    std::string contentType;
    std::string body;
    std::string traceparent;
    /// Idempotency key of work that is not repeatable; passed on to the server.
    std::string idempotencyKey;
    /// Fencing number of a claim; 0 when there is none.
    std::uint64_t fence = 0;
    /// With a stream that is resumed: the stream's name at the server and the first event wanted.
    std::string resumeStream;
    std::uint64_t resumeFrom = 0;
};

enum class SendState {
    NeverSent, ///< Not one byte of the request left: it certainly did not run.
    Refused,   ///< The server said that it did not run it.
    MaybeRan,  ///< It was sent, wholly or in part.
};

/// One event of a model's stream or one piece of a service's answer.
struct BackendPart
{
    AttemptId attempt;
    /// Place in the stream, from 0; a part that is not the next one is dropped.
    std::uint64_t index = 0;
    std::string payload;
    /// Weighed tokens that this part adds to the service received.
    Base::ServiceUnits units = 0;
};

struct BackendHead
{
    AttemptId attempt;
    int status = 200;
    std::string contentType;
    /// Name under which the server can resume the stream; empty if it cannot.
    std::string streamName;
};

struct BackendFinished
{
    AttemptId attempt;
    /// Parts of the whole answer, for a check that none is missing.
    std::uint64_t parts = 0;
};

struct BackendFailed
{
    AttemptId attempt;
    SendState sent = SendState::MaybeRan;
    /// HTTP status if the server answered with an error, else 0.
    int status = 0;
    std::optional<Base::Milliseconds> retryAfter;
};

struct BackendLoad
{
    Base::ServerId server;
    bool isReachable = false;
    Scheduling::LoadReport report;
};

/// Sends work to backend servers. Calls return at once; a send is followed by at most one
/// BackendHead, its parts, and exactly one BackendFinished or BackendFailed.
class BackendClient
{
public:
    virtual ~BackendClient() = default;
    virtual void send(const BackendRequest &request) = 0;
    virtual void cancel(const AttemptId &attempt) = 0;
    /// Stops and restarts reading of the answer: back pressure from a slow caller.
    virtual void pause(const AttemptId &attempt) = 0;
    virtual void resume(const AttemptId &attempt) = 0;
    /// Followed by one BackendLoad.
    virtual void pollLoad(const Base::ServerId &server, const std::string &address) = 0;
};

} // namespace Node
