#pragma once

#include "base/memorybudget.h"
#include "base/time.h"
#include "gateway/httptext.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

/// Receives the answer to one request: either one sendAnswer(), or startStream(), any number of
/// sendEvents() and then endStream() or abortAnswer().
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    virtual void sendAnswer(const ResponseHead &head, std::string_view body) = 0;
    /// The same with a body that is not copied. It is released once the caller has read it.
    virtual void sendLargeAnswer(const ResponseHead &head,
                                 const std::shared_ptr<const std::string> &body)
    {
        sendAnswer(head, *body);
    }
    virtual void startStream(const ResponseHead &head) = 0;
    virtual void sendEvents(std::string_view data) = 0;
    virtual void endStream() = 0;
    /// Closes the connection without ending the answer, so that the answer cannot look complete.
    virtual void abortAnswer() = 0;
    /// Makes the answer the last one of its connection. Must be called before the answer is sent.
    virtual void closeAfterAnswer() = 0;
    /// Whether the caller has closed its connection, also if that has not been read yet. Costs a
    /// system call.
    virtual bool isCallerGone() const = 0;
    /// Whether output is held back because the caller reads more slowly than the answer arrives.
    virtual bool isBlocked() const = 0;
};

/// A complete request of a caller.
struct CallerRequest
{
    Request message;
    /// The time at which the first byte of the request was read.
    Base::TimePoint readAt;
    /// The memory of the request, until it is destroyed.
    Base::MemoryBudget::Reservation memory = {};
};

/// The answer to a request that is refused before its body has arrived.
struct EarlyRefusal
{
    ResponseHead head;
    std::string body;
};

/// A request that has no final answer yet.
class ActiveRequest
{
public:
    virtual ~ActiveRequest() = default;
    /// The caller has closed its connection. The sink must not be used any more.
    virtual void callerGone() = 0;
    /// The caller has read the output that was held back.
    virtual void outputDrained() = 0;
};

/// Handles the requests of a listener. handle() returns null if the request was answered at once.
/// The sink lives until the answer is complete or ActiveRequest::callerGone() was called.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    virtual std::shared_ptr<ActiveRequest> handle(CallerRequest request, AnswerSink &sink) = 0;
    /// Decides on a request whose body has not arrived yet, so that no memory is used for a body
    /// that nobody will read. Returns nothing if the body is to be read.
    virtual std::optional<EarlyRefusal> refuseEarly(const RequestHead & /*head*/,
                                                    Base::TimePoint /*readAt*/)
    {
        return std::nullopt;
    }
};

} // namespace Gateway
