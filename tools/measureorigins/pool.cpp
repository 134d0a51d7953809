#include "pool.h"

#include "base/hash.h"

#include <algorithm>
#include <bitset>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace {

constexpr double tokensPerMs = 49.6;
constexpr double cacheTokens = 265'000;
/// A stream may go to the other version if it would wait longer than this.
constexpr double maxWaitMs = 800;
constexpr int warmUp = 20'000;
constexpr int measured = 100'000;

constexpr std::size_t maxBeginnings = 300;

enum class Choice { Free, ById, ByIdOrRoom, ByBeginning };

struct PromptKind
{
    double weight;
    double beginningTokens;
    std::uint64_t beginnings;
    double ownTokens;
};

constexpr PromptKind kinds[] = {
    {29.0, 13300, 45, 3720}, {21.9, 6300, 34, 2890}, {43.4, 350, 68, 1110}};

struct CachedBeginning
{
    std::uint64_t id = 0;
    double tokens = 0;
};

/// Reads prompts one after the other, and keeps the beginnings that were used last.
struct ReadingServer
{
    bool isNew = false;
    double freeAt = 0;
    std::deque<CachedBeginning> cache;
    std::bitset<maxBeginnings> cached;
    double cachedTokens = 0;
    std::deque<double> ends;

    bool has(std::uint64_t id) const { return cached.test(id); }
    void use(const CachedBeginning &beginning)
    {
        const auto found =
            std::ranges::find_if(cache, [&](const auto &it) { return it.id == beginning.id; });
        if (found == cache.end())
            cachedTokens += beginning.tokens;
        else
            cache.erase(found);
        cache.push_front(beginning);
        cached.set(beginning.id);
        while (cachedTokens > cacheTokens) {
            cachedTokens -= cache.back().tokens;
            cached.reset(cache.back().id);
            cache.pop_back();
        }
    }
    std::size_t queue(double now)
    {
        while (!ends.empty() && ends.front() <= now)
            ends.pop_front();
        return ends.size();
    }
};

struct PoolResult
{
    double load = 0;
    double meanWait = 0;
    double highWait = 0;
    std::size_t longestQueue = 0;
    double readAgain = 0;
    double cachedElsewhere = 0;
    double exceptions = 0;
};

struct PoolSetting
{
    std::size_t servers;
    std::size_t newServers;
    double threshold;
    Choice choice;
    bool isCaching;
};

double fraction(std::uint64_t value)
{
    return static_cast<double>(Base::stableHash(std::to_string(value))) / 0x1p64;
}

PoolResult run(const PoolSetting &setting, double perMs)
{
    std::mt19937_64 random(20261);
    std::exponential_distribution<double> gap(perMs);
    std::discrete_distribution<std::size_t> drawKind(
        {kinds[0].weight, kinds[1].weight, kinds[2].weight});
    std::vector<ReadingServer> servers(setting.servers);
    for (std::size_t i = 0; i < setting.newServers; ++i)
        servers[i].isNew = true;
    PoolResult result;
    std::vector<double> waits;
    double now = 0;
    double begin = 0;
    double work = 0;
    double beginnings = 0;
    for (int i = 0; i < warmUp + measured; ++i) {
        now += gap(random);
        const bool isMeasured = i >= warmUp;
        if (i == warmUp)
            begin = now;
        const std::size_t kind = drawKind(random);
        const PromptKind &it = kinds[kind];
        const CachedBeginning beginning{kind * 100 + random() % it.beginnings, it.beginningTokens};
        const double own = std::exponential_distribution<double>(1 / it.ownTokens)(random);
        const std::uint64_t id = random();
        const bool toNew =
            fraction(setting.choice == Choice::ByBeginning ? beginning.id : id) < setting.threshold;
        ReadingServer *best[2] = {nullptr, nullptr};
        double doneAt[2] = {0, 0};
        bool isCached[2] = {false, false};
        for (ReadingServer &server : servers) {
            const bool has = setting.isCaching && server.has(beginning.id);
            const double read = (own + (has ? 0 : beginning.tokens)) / tokensPerMs;
            const double done = std::max(now, server.freeAt) + read;
            isCached[server.isNew] |= has;
            if (best[server.isNew] && done >= doneAt[server.isNew])
                continue;
            best[server.isNew] = &server;
            doneAt[server.isNew] = done;
        }
        bool isNew = toNew;
        const bool isOtherSooner = doneAt[!toNew] < doneAt[toNew];
        const bool hasRoom = best[toNew]->freeAt - now <= maxWaitMs;
        if (setting.choice == Choice::Free)
            isNew = doneAt[1] < doneAt[0];
        else if (setting.choice != Choice::ById && !hasRoom && isOtherSooner)
            isNew = !toNew;
        ReadingServer &server = *best[isNew];
        const double startAt = std::max(now, server.freeAt);
        const bool has = setting.isCaching && server.has(beginning.id);
        if (isMeasured) {
            waits.push_back(startAt - now);
            work += doneAt[isNew] - startAt;
            beginnings += beginning.tokens;
            result.readAgain += has ? 0 : beginning.tokens;
            result.cachedElsewhere += !isCached[isNew] && isCached[!isNew] ? 1 : 0;
            result.exceptions += isNew != toNew ? 1 : 0;
            result.longestQueue = std::max(result.longestQueue, server.queue(now) + 1);
        }
        server.freeAt = doneAt[isNew];
        server.queue(now);
        server.ends.push_back(server.freeAt);
        if (setting.isCaching)
            server.use(beginning);
    }
    result.load = work / ((now - begin) * static_cast<double>(setting.servers));
    std::ranges::sort(waits);
    for (const double wait : waits)
        result.meanWait += wait / measured;
    result.highWait = waits[waits.size() * 99 / 100];
    result.readAgain /= beginnings;
    result.cachedElsewhere /= measured;
    result.exceptions /= measured;
    return result;
}

/// Returns the arrivals a millisecond at which a pool of one version has the given load.
double arrivals(std::size_t servers, bool isCaching, double load)
{
    double perMs = static_cast<double>(servers) * load / 170;
    for (int i = 0; i < 8; ++i)
        perMs *= load / run({servers, 0, 0, Choice::ById, isCaching}, perMs).load;
    return perMs;
}

void print(const char *name, const PoolResult &it)
{
    std::printf("    %-22s mean %7.0f  p99 %7.0f  longest queue %4zu  read again %4.1f%%"
                "  cached at the other version only %4.1f%%  exceptions %5.2f%%\n",
                name, it.meanWait, it.highWait, it.longestQueue, 100 * it.readAgain,
                100 * it.cachedElsewhere, 100 * it.exceptions);
}

} // namespace

void measurePlacement()
{
    struct Share
    {
        const char *name;
        std::size_t newNinths;
        double threshold;
    };
    const Share shares[] = {{"1/9 new", 1, 1.0 / 9},
                            {"4/9 new", 4, 4.0 / 9},
                            {"4/9 new, threshold one server behind", 4, 3.0 / 9}};
    std::printf("waits in ms before a prompt is read\n");
    for (const std::size_t servers : {9U, 135U}) {
        for (const bool isCaching : {false, true}) {
            for (const double load : {0.7, 0.9}) {
                const double perMs = arrivals(servers, isCaching, load);
                for (const Share &share : shares) {
                    std::printf("  %zu servers, load %.1f, %s, %s\n", servers, load,
                                isCaching ? "beginnings cached" : "nothing cached", share.name);
                    const std::size_t newServers = servers * share.newNinths / 9;
                    const auto measure = [&](const char *name, Choice choice) {
                        print(name, run({servers, newServers, share.threshold, choice, isCaching},
                                        perMs));
                    };
                    measure("free", Choice::Free);
                    measure("by id", Choice::ById);
                    measure("by id, exceptions", Choice::ByIdOrRoom);
                    if (isCaching)
                        measure("by beginning, exc.", Choice::ByBeginning);
                }
            }
        }
    }
}
