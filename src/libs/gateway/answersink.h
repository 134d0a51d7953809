#pragma once

#include "base/time.h"
#include "gateway/httptext.h"

#include <memory>
#include <string>
#include <string_view>

namespace Gateway {

/// Where the answer to one request goes. Either sendAnswer(), or startStream(), any number of
/// sendEvents() and then endStream() or abortAnswer().
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    virtual void sendAnswer(const ResponseHead &head, std::string_view body) = 0;
    virtual void startStream(const ResponseHead &head) = 0;
    virtual void sendEvents(std::string_view data) = 0;
    virtual void endStream() = 0;
    /// Closes the connection without an end, so that the answer cannot look complete.
    virtual void abortAnswer() = 0;
    /// The answer is the last one of its connection. Call it before the answer.
    virtual void closeAfterAnswer() = 0;
    /// Whether the caller has closed its connection, read or not. Costs a system call.
    virtual bool isCallerGone() const = 0;
    /// Whether the caller reads slower than its answer comes.
    virtual bool isBlocked() const = 0;
};

/// A caller's request, whole.
struct CallerRequest
{
    Request message;
    /// When its first byte was read.
    Base::TimePoint readAt;
};

/// A request that has no final answer yet.
class ActiveRequest
{
public:
    virtual ~ActiveRequest() = default;
    /// The caller closed its connection; the sink must not be used any more.
    virtual void callerGone() = 0;
    /// The caller has read what was held back.
    virtual void outputDrained() = 0;
};

/// Takes the requests of a listener. The sink lives until the answer is complete or
/// ActiveRequest::callerGone() was called. Null if the answer was given at once.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    virtual std::shared_ptr<ActiveRequest> handle(CallerRequest request, AnswerSink &sink) = 0;
};

} // namespace Gateway
