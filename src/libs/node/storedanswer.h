#pragma once

#include "base/result.h"

#include <string>
#include <vector>

namespace Node {

/// The answer of work that is not repeatable. It is stored with the claim, so that a repeated call
/// gets the same answer.
struct StoredAnswer
{
    int status = 200;
    std::string contentType;
    bool isEventStream = false;
    std::vector<std::string> parts;

    bool operator==(const StoredAnswer &) const = default;
};

/// Error of decodeAnswer(): the text is not a stored answer.
struct MalformedAnswer
{};

/// Returns the answer as JSON text.
std::string encodeAnswer(const StoredAnswer &answer);
/// Parses the text of encodeAnswer(). Accepts any bytes; fails with MalformedAnswer if they are
/// not a stored answer.
Base::Result<StoredAnswer> decodeAnswer(const std::string &text);

} // namespace Node
