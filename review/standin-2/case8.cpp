// Case 8: the first requests with a new first part all have a part that crashes servers. Both parts
// are blamed, and sound requests with the new first part are refused for ever.
#include "modelservers.h"

using namespace Case;

namespace {

constexpr const char *deadly = "dead6";
constexpr std::int64_t stableWindowMs = 3000;

std::string partsOf(const std::string &first, const std::string &part, int own)
{
    char entry[32];
    std::snprintf(entry, sizeof(entry), "e%05x:200", own);
    return first + ":400," + (part.empty() ? "" : part + ":100,") + entry;
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

    std::atomic<int> number = 0;
    const auto ask = [&](const std::string &kind, const std::string &key, const std::string &first, const std::string &part) {
        const int n = ++number;
        return askStream(it, static_cast<std::size_t>(n), kind + "-" + std::to_string(n), key, partsOf(first, part, n));
    };
    // In calm: 40 sound requests of the caller, with its old first part.
    int before = 0;
    for (int n = 0; n < 40; ++n)
        before += ask("calm", "key-1", "aa01", "").status == 200 ? 1 : 0;
    it.record.say("in calm, " + std::to_string(before) + " of 40 sound requests of the caller began");
    // The caller's new first part comes with the part that crashes servers, no two requests alike.
    std::atomic<bool> isOver = false;
    std::thread trouble([&] {
        while (!isOver) {
            ask("deadly", "key-1", "aa02", deadly);
            sleepMs(700);
        }
    });
    const std::int64_t begun = steadyMs();
    std::size_t crashes = 0;
    std::int64_t lastAt = begun;
    while (steadyMs() - begun < 9000) {
        const auto known = servers.lines("crash");
        crashes = std::min<std::size_t>(known.size(), 5);
        if (crashes > 0)
            lastAt = known[crashes - 1].first;
        sleepMs(50);
    }
    // From 2 x stableWindowMs after the fifth crash, or the last: sound requests of the same caller
    // with the new first part, while the others still come.
    while (steadyMs() < lastAt + 2 * stableWindowMs + 500)
        sleepMs(50);
    int after = 0;
    for (int n = 0; n < 40; ++n) {
        after += ask("sound", "key-1", "aa02", "").status == 200 ? 1 : 0;
        sleepMs(100);
    }
    isOver = true;
    trouble.join();
    for (const auto &[at, attempt] : servers.lines("run"))
        it.record.line("run of " + attempt + " at " + std::to_string(at));
    it.record.say(std::to_string(servers.lines("crash").size()) + " crashes; later, " + std::to_string(after)
                  + " of 40 sound requests of the caller began; in calm " + std::to_string(before) + " of 40 did");
    if (before < 20)
        it.finish(NotRun);
    it.finish(2 * after < before ? Broken : Held);
}
