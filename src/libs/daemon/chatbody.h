#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>

namespace Daemon {

/// The parts of a chat completion's body that the router uses.
struct ChatBody
{
    std::string model;
    bool isStreaming = false;
    /// Estimated from the length of the messages' text.
    std::uint64_t promptTokens = 0;
    /// The caller's limit on generated tokens; 0 if there is none.
    std::uint64_t maxTokens = 0;
    /// Hash of the start of the prompt; 0 if the prompt is empty.
    std::uint64_t prefix = 0;
    /// The body for the model server, which is always asked for a stream.
    std::string forwardedBody;
};

/// Parses a chat completion's body. Fails with BadRequest (requestparser.h).
Base::Result<ChatBody> parseChatBody(const std::string &body);

} // namespace Daemon
