#pragma once

#include <cstddef>

namespace Gateway {

/// What was wrong with an answer that was given up.
enum class AnswerFault {
    None,
    Malformed,
    LongHead,
    /// Too many 1xx answers came before the final one.
    ManyInterimAnswers,
    /// An extension of a chunk or the trailers were too long.
    LongChunkFraming,
    /// The answers to older requests were too long.
    LongLateAnswers,
    LongBody,
    LongEvent,
    /// The answers to all open requests did not fit into the memory for them, and this one had
    /// occupied most of it.
    NoMemory,
    /// The answer ended with its connection, and its server has ended too.
    ServerEnded,
};

/// Returns the name of \a fault for the log; an empty one if there is none.
const char *nameOf(AnswerFault fault);

/// The largest head of an answer.
constexpr std::size_t maxAnswerHeadBytes = 8192;
/// The largest number of 1xx answers to one attempt.
constexpr int maxInterimAnswers = 16;
/// The most bytes between the data of two chunks, or after the last one, that are kept for the
/// rest of them.
constexpr std::size_t maxChunkFramingBytes = 16384;
/// The largest body of an answer that is no stream of events, which is kept until it is whole, and
/// the largest length that the head of any answer may tell.
constexpr std::size_t maxAnswerBodyBytes = 64UL * 1024 * 1024;
/// The largest event of a stream. It is kept until it is whole.
constexpr std::size_t maxEventBytes = 1024UL * 1024;
/// The most bytes of answers to older requests that one attempt skips.
constexpr std::size_t maxLateAnswerBytes = 64UL * 1024 * 1024;

} // namespace Gateway
