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
    }
    return "";
}

} // namespace Gateway
