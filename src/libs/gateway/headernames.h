#pragma once

#include <string>
#include <vector>

namespace Gateway {

/// A deployment's names of the header fields that the gateway reads and sets. An empty name stands
/// for a field that the deployment does not have.
struct HeaderNames
{
    /// In a request and its answer: the caller's id of this attempt.
    std::string requestId;
    /// In an answer: the server's signature, which shows that the answer is its own.
    std::string signature;
    /// In a request: the milliseconds left until its deadline.
    std::string timeLeft;
    /// Set by the gateway: the customer to whom the key of the request belongs.
    std::string customer;
    /// Set by the gateway: id of the only server that may run the request.
    std::string expectedServer;
    /// Set by the gateway: address of the server from whose cache the beginning of the prompt is
    /// fetched.
    std::string fetchFrom;
    /// Name of the model that is to answer.
    std::string model;
    /// Number of tokens of the prompt and maximum number of tokens to generate: "IN,OUT".
    std::string tokenCounts;
    /// Hash and number of tokens of each part of the prompt, in order: "HEX:TOKENS,HEX:TOKENS".
    std::string promptParts;
    /// Id of the last event that the caller has received, in a request that resumes a stream.
    std::string lastEventId;
    /// Id of the caller's attempt that brought the first event, in a request that resumes a stream.
    std::string resumedRequestId;
    /// In an answer: the server did not run the request.
    std::string notRun;
    /// In an answer that turns a request away: the seconds for which the server wants no requests
    /// from this host.
    std::string retryAfter;
    /// In any answer: "1" if the server leaves.
    std::string leaving;
    /// In any answer: what the server has to do, as "RUNNING,WAITING,SLOTS" and, if it shares its
    /// machine with others, the time that work takes there in percent of the usual one.
    std::string serverLoad;
    /// Fields that only the gateway may set; they are removed from callers' requests.
    std::vector<std::string> reserved;
};

} // namespace Gateway
