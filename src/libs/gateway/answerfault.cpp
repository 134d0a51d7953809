#include "gateway/answerfault.h"

namespace Gateway {

const char *nameOf(AnswerFault fault)
{
    switch (fault) {
    case AnswerFault::None:
        break;
    case AnswerFault::Malformed:
        return "malformed";
    case AnswerFault::LongHead:
        return "head_too_long";
    case AnswerFault::ManyInterimAnswers:
        return "too_many_interim_answers";
    case AnswerFault::LongChunkFraming:
        return "chunk_framing_too_long";
    case AnswerFault::LongLateAnswers:
        return "late_answers_too_long";
    case AnswerFault::LongBody:
        return "body_too_long";
    case AnswerFault::LongEvent:
        return "event_too_long";
    case AnswerFault::NoMemory:
        return "no_memory";
    case AnswerFault::ServerEnded:
        return "server_ended";
    }
    return "";
}

} // namespace Gateway
