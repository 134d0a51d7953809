#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>

namespace Daemon {

/// What the router needs to know of a chat completion's body.
struct ChatBody
{
    std::string model;
    bool isStreaming = false;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    std::uint64_t prefix = 0;
    /// The body for the model server, which always streams.
    std::string forwardedBody;
};

/// Reads a chat completion's body. Fails with BadRequest (requestparser.h).
Base::Result<ChatBody> parseChatBody(const std::string &body);

} // namespace Daemon
