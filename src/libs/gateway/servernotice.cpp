#include "gateway/servernotice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Gateway {

namespace {

/// Returns the time that a Retry-After field states; zero if it is not a positive decimal number.
Base::Duration backoffTime(std::string_view text)
{
    double seconds = 0;
    const char *const last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, seconds, std::chars_format::fixed);
    if (ec != std::errc() || end != last || !std::isfinite(seconds) || seconds <= 0)
        return Base::Duration::zero();
    const double longest = std::chrono::duration<double>(maxBackoff).count();
    return std::chrono::ceil<Base::Duration>(
        std::chrono::duration<double>(std::min(seconds, longest)));
}

/// The number of figures of a load field that tells how long work takes on the server's machine.
constexpr std::ptrdiff_t figuresWithMachineLoad = 4;

bool isTurnedAway(unsigned status)
{
    return status == 503 || status == 429;
}

} // namespace

Routing::ServerNotice serverNotice(const ResponseHead &head, const HeaderNames &names)
{
    Routing::ServerNotice notice;
    const unsigned status = head.result_int();
    if (status == 421)
        return notice;
    if (isTurnedAway(status))
        notice.backoff = backoffTime(field(head, names.retryAfter));
    notice.isLeaving = field(head, names.leaving) == "1";
    const std::string_view load = field(head, names.serverLoad);
    notice.tellsMachineLoad =
        std::count(load.begin(), load.end(), ',') + 1 >= figuresWithMachineLoad;
    return notice;
}

} // namespace Gateway
