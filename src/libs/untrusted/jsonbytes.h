#pragma once

#include "base/result.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace Untrusted {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

/// Limits of a value that comes from outside the process. Whoever copies, writes or destroys a
/// value recurses over its levels.
struct JsonLimits
{
    /// Arrays and objects within each other.
    std::size_t levels = 100;
    /// Arrays, objects and their members; each may take some hundred bytes of memory.
    std::size_t elements = 1'000'000;
    std::size_t bytes = 64UL * 1024 * 1024;
};

/// The value exceeds JsonLimits.
struct OutsideLimits
{};

/// The text is no JSON.
struct JsonSyntaxError
{
    /// Number of the byte, from 1.
    std::size_t byte = 0;
};

/// The text has a number that no type holds.
struct NumberOutOfRange
{};

/// Parses \a text. Returns a discarded value, which has no type, if it is no JSON or outside
/// \a limits.
Json readJson(std::string_view text, const JsonLimits &limits = {});
/// Does the same as readJson(), but keeps the order of members.
OrderedJson readOrderedJson(std::string_view text, const JsonLimits &limits = {});
/// Parses \a text, which may have comments, and calls \a callback as the library does. Fails with
/// OutsideLimits, JsonSyntaxError or NumberOutOfRange.
Base::Result<Json> readCommentedJson(std::string_view text,
                                     const Json::parser_callback_t &callback = nullptr,
                                     const JsonLimits &limits = {});

/// Parses one CBOR item, which must end with \a bytes. Returns a discarded value if it is none,
/// outside \a limits, or has tags or items of indefinite length, which nobody writes.
Json readCbor(std::string_view bytes, const JsonLimits &limits = {});

} // namespace Untrusted
