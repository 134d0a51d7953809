#include "gateway/silencelimit.h"

#include <algorithm>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

/// A repeatable request whose answer has not begun is sent to another server after this many times
/// the expected time, but not before a minimum. A server that is down may never reset the
/// connection.
constexpr int silenceFactor = 2;
constexpr Base::Duration minSilenceTimeout = milliseconds(250);
constexpr Base::Duration minStreamSilenceTimeout = milliseconds(1100);
/// A started stream is resumed at another server after a pause of this many times the longest pause
/// that is on time. Callers leave after eight times; giving up before half of that leaves time for
/// the other server.
constexpr int pauseToleranceFactor = 3;
/// A server that has sent anything to this host within this time is alive.
constexpr Base::Duration serverQuietTime = milliseconds(150);
constexpr Base::Duration streamServerQuietTime = milliseconds(600);
/// The silence timeout is this many times longer while the server answers other requests. Callers
/// of a stream leave after about four seconds without an event.
constexpr int aliveServerFactor = 3;

Base::Duration silenceTimeout(const SilentAttempt &attempt)
{
    const bool isStream = attempt.route.isStream();
    if (isStream && attempt.isStarted)
        return attempt.route.longestPause * pauseToleranceFactor;
    const Base::Duration floor = isStream ? minStreamSilenceTimeout : minSilenceTimeout;
    return std::max(attempt.expectedStart * silenceFactor, floor);
}

} // namespace

bool isTooSilent(const SilentAttempt &attempt)
{
    const Base::Duration timeout = silenceTimeout(attempt);
    if (attempt.silence < timeout)
        return false;
    // A server that answers other requests is alive and only slow. Giving up its work would waste
    // what it has already read, and in an overloaded pool no other server has capacity. A server
    // that never answers this request may drop some of its requests silently, so the longer wait is
    // bounded too.
    const Base::Duration quietTime =
        attempt.route.isStream() ? streamServerQuietTime : serverQuietTime;
    const bool isServerQuiet = !attempt.serverQuiet || *attempt.serverQuiet >= quietTime;
    return isServerQuiet || attempt.silence >= timeout * aliveServerFactor;
}

} // namespace Gateway
