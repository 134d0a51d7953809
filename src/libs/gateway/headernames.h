#pragma once

#include <string>
#include <vector>

namespace Gateway {

/// How a deployment spells the header fields that the gateway reads and sets. An empty name
/// stands for a field that the deployment does not have.
struct HeaderNames
{
    /// Of a request and of its answer: the caller's name for this attempt.
    std::string requestId;
    /// Of an answer: the server's proof that the answer is its own.
    std::string signature;
    /// Milliseconds that the caller will wait, or that a server is given.
    std::string timeLeft;
    /// Set by us: the customer whose key the request carried.
    std::string customer;
    /// Set by us: only the server with this id may run the request.
    std::string expectedServer;
    /// Set by us: the address of the server from which the prompt's kept beginning is fetched.
    std::string fetchFrom;
    /// Tokens of the prompt and most tokens to generate: "IN,OUT".
    std::string tokenCounts;
    /// Parts of the prompt in order: "HEX:TOKENS,HEX:TOKENS".
    std::string promptParts;
    /// Last event that the caller has of a stream that is gone on with.
    std::string lastEventId;
    /// Of an answer: the server did not run the request.
    std::string notRun;
    /// What only we may set; dropped from what callers send.
    std::vector<std::string> reserved;
};

} // namespace Gateway
