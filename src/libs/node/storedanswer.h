#pragma once

#include "base/result.h"

#include <string>
#include <vector>

namespace Node {

/// The answer of work that is not repeatable, as its claim keeps it for a repeat of the call.
struct StoredAnswer
{
    int status = 200;
    std::string contentType;
    bool isEventStream = false;
    std::vector<std::string> parts;

    bool operator==(const StoredAnswer &) const = default;
};

/// A stored answer whose text cannot be read.
struct MalformedAnswer
{};

std::string encodeAnswer(const StoredAnswer &answer);
/// Fails with MalformedAnswer; any bytes are safe.
Base::Result<StoredAnswer> decodeAnswer(const std::string &text);

} // namespace Node
