#pragma once

#include <cstddef>

namespace Gateway {

/// What was wrong with an answer that was given up while its connection was sound.
enum class AnswerFault {
    None,
    Malformed,
    LongHead,
    /// Too many 1xx answers came before the final one.
    ManyInterimAnswers,
};

/// Returns the name of \a fault for the log; an empty one if there is none.
const char *nameOf(AnswerFault fault);

/// The largest head of an answer.
constexpr std::size_t maxAnswerHeadBytes = 8192;
/// The largest number of 1xx answers to one attempt.
constexpr int maxInterimAnswers = 16;

} // namespace Gateway
