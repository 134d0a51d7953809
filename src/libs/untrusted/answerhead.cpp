#include "untrusted/answerhead.h"

namespace Untrusted {

namespace {

constexpr unsigned minStatus = 100;
constexpr unsigned maxStatus = 599;
constexpr unsigned switchingProtocols = 101;

} // namespace

bool isAnswerStatus(unsigned status)
{
    return status >= minStatus && status <= maxStatus && status != switchingProtocols;
}

} // namespace Untrusted
