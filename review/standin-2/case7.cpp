// Case 7: the part that crashes servers stands behind the 64th part of its prompts. The gateways read
// 64 parts of a prompt. They blame the parts that they read, and refuse all sound requests with them.
#include "modelservers.h"

using namespace Case;

namespace {

constexpr const char *deadly = "dead5";
/// With PARTS=10 all parts are read, and the rule holds.
const int sharedParts = std::getenv("PARTS") ? std::atoi(std::getenv("PARTS")) : 66;
constexpr std::int64_t stableWindowMs = 3000;

/// The parts of a prompt: a conversation that callers share, the given part, and one of its own.
std::string partsOf(const std::string &part, int own)
{
    std::string text;
    char entry[32];
    for (int i = 0; i < sharedParts; ++i) {
        std::snprintf(entry, sizeof(entry), "c0%02x:10,", i);
        text += entry;
    }
    if (!part.empty())
        text += part + ":10,";
    std::snprintf(entry, sizeof(entry), "e%05x:20", own);
    return text + entry;
}

} // namespace

int main(int count, char **arguments)
{
    if (count > 6 && std::string(arguments[1]) == "server")
        return runModelServer(arguments);
    Deployment it(arguments);
    it.store.put("op", "config", configuration(4, Json::array({route("stream", "streaming", "pool", 8000, 2, {{"streamResume", true}})})));
    ModelServers servers(it, arguments[0], 18, it.hasTrouble ? deadly : "", 3000);
    for (int n = 1; n <= 2; ++n)
        it.startGateway(n, n == 1 ? "z1" : "z2");
    it.awaitGateways();

    std::atomic<bool> isOver = false;
    std::mutex mutex;
    // When each sound request was sent, and whether it began.
    std::vector<std::pair<std::int64_t, bool>> sound;
    std::vector<std::thread> callers;
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&, i] {
            for (int n = 0; !isOver; ++n) {
                const int own = i * 10'000 + n;
                const std::int64_t sentAt = steadyMs();
                const Answer answer = askStream(it, static_cast<std::size_t>(i), "sound-" + std::to_string(own),
                                                i % 2 == 0 ? "key-1" : "key-2", partsOf("", own));
                const std::lock_guard lock(mutex);
                sound.emplace_back(sentAt, answer.status == 200);
                sleepMs(50);
            }
        });
    }
    sleepMs(8000);
    const std::int64_t calmUntil = steadyMs();
    std::vector<std::thread> others;
    for (int n = 0; n < 40; ++n) {
        others.emplace_back([&, n] {
            askStream(it, static_cast<std::size_t>(n), "deadly-" + std::to_string(n), n % 4 < 2 ? "key-1" : "key-2",
                      partsOf(deadly, 500'000 + n));
        });
        sleepMs(600);
    }
    const std::int64_t troubleUntil = steadyMs();
    for (std::thread &other : others)
        other.join();
    isOver = true;
    for (std::thread &caller : callers)
        caller.join();

    const auto crashes = servers.lines("crash");
    const std::int64_t fifthAt =
        crashes.empty() ? calmUntil : crashes[std::min<std::size_t>(crashes.size(), 5) - 1].first;
    int late = 0;
    for (const auto &[at, attempt] : servers.lines("run")) {
        it.record.line("run of " + attempt + " at " + std::to_string(at));
        if (crashes.size() >= 5 && attempt.starts_with("deadly") && at > fifthAt + stableWindowMs)
            ++late;
    }
    int calm = 0, calmBegun = 0, later = 0, laterBegun = 0;
    for (const auto &[at, hasBegun] : sound) {
        if (at < calmUntil) {
            ++calm;
            calmBegun += hasBegun ? 1 : 0;
        } else if (at >= fifthAt + 2 * stableWindowMs && at < troubleUntil) {
            ++later;
            laterBegun += hasBegun ? 1 : 0;
        }
    }
    it.record.say(std::to_string(crashes.size()) + " crashes; " + std::to_string(late)
                  + " requests with the part reached servers later than stableWindowMs after the fifth, three may");
    it.record.say("sound requests that began at the first try: " + std::to_string(calmBegun) + " of " + std::to_string(calm)
                  + " in calm, " + std::to_string(laterBegun) + " of " + std::to_string(later)
                  + " from 2 x stableWindowMs after the fifth crash, while the others still came");
    if (calmBegun < 20 || later < 20)
        it.finish(NotRun);
    const bool isLost = static_cast<double>(laterBegun) / later < 0.5 * calmBegun / calm;
    it.finish(late > 3 || isLost ? Broken : Held);
}
