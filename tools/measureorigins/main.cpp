#include "pool.h"

#include "platform/storecodec.h"
#include "routing/streamorigins.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

// Compares ways to keep, beyond the end of all hosts, which software version began a stream. Time
// is virtual, and all random numbers come from a fixed seed. docs/design/ cites the output.

using namespace Routing;
using Base::Milliseconds;
using Gateway::StreamChanges;
using Gateway::StreamRow;

namespace {

constexpr int tickMs = 5;
constexpr int reportMs = 200;
constexpr int writerTickMs = 25;
constexpr int releaseMs = 40'000;
constexpr int endMs = 100'000;
constexpr int never = std::numeric_limits<int>::max();
constexpr double lostReports = 0.02;
constexpr double partCallMs = 5;
constexpr std::size_t maxParts = 16;
constexpr std::size_t streamsOfRow = 5000;
constexpr std::size_t maxRemovals = 80;
constexpr std::size_t pageRows = 500;
constexpr double pageBytes = 1'000'000;
constexpr double linkBytesPerS = 500e6;
constexpr int kills = 400;

struct Fleet
{
    std::size_t hosts;
    std::size_t zones;
    double streamsPerS;
    double writesPerS;
    double readsPerS;
    double callPrice;
    double gbPrice;
};

constexpr Fleet fleets[] = {{9, 3, 72.3, 400, 2000, 0.036, 380},
                            {80, 4, 1003.9, 1200, 6000, 0.86, 4700},
                            {986, 6, 1689.6, 3200, 16000, 0.36, 13000}};

/// From a time on, this share of the new streams goes to the new version.
struct Step
{
    int at;
    double share;
};

struct Release
{
    const char *name;
    std::vector<Step> steps;
    int oldGoneAt;
};

std::vector<Step> ninths()
{
    std::vector<Step> steps;
    for (int i = 1; i <= 9; ++i)
        steps.push_back({releaseMs + (i - 1) * 1000, i / 9.0});
    return steps;
}

enum class Way { FirstLeader, OwnOnceThenLeader, EachHost, FunctionBatch, FunctionFirst, RowEach };

struct Plan
{
    const char *name;
    Way way;
    int interval;
    double exceptions = 0;

    bool isFunction() const { return way == Way::FunctionBatch || way == Way::FunctionFirst; }
    bool isByHosts() const { return way == Way::EachHost || way == Way::RowEach; }
};

struct Stream
{
    StreamId id = 0;
    std::size_t host = 0;
    int beganAt = 0;
    int endsAt = 0;
    bool isNew = false;
    bool isException = false;
    bool isListed = false;
    int storedAt = never;
};

const ServiceVersion versions[] = {{"lm-pool", "v1"}, {"lm-pool", "v1.1"}};

Base::TimePoint at(int ms)
{
    return Base::TimePoint(std::chrono::seconds(1000) + Milliseconds(ms));
}

/// The version that the function gives a stream.
bool isNewBy(StreamId id, double share)
{
    return static_cast<double>(id) < share * 0x1p64;
}

/// Whether thresholds that count at \a now, or did so in the last \a memory, give a stream two
/// versions.
bool isAmbiguous(const std::vector<Step> &steps, StreamId id, int now, int memory)
{
    bool any[2] = {false, false};
    double share = 0;
    for (const Step &step : steps) {
        if (step.at > now)
            break;
        if (step.at > now - memory)
            any[isNewBy(id, share)] = true;
        share = step.share;
    }
    any[isNewBy(id, share)] = true;
    return any[0] && any[1];
}

double shareAt(const std::vector<Step> &steps, int now)
{
    double share = 0;
    for (const Step &step : steps)
        share = step.at <= now ? step.share : share;
    return share;
}

/// Takes calls at a limited rate, and those of one part one after the other.
class Store
{
public:
    explicit Store(double writesPerS)
        : m_callMs(1000 / writesPerS)
    {}
    int call(int now, std::size_t part, double bytes)
    {
        const double startAt = std::max<double>(now, m_freeAt);
        m_freeAt = startAt + m_callMs;
        m_partFreeAt[part] = std::max(startAt, m_partFreeAt[part]) + partCallMs;
        longestMs = std::max(longestMs, m_partFreeAt[part] - now);
        const auto second = static_cast<std::size_t>(now / 1000);
        ++calls[second];
        bytesOf[second] += bytes;
        return static_cast<int>(m_partFreeAt[part]) + 1;
    }

    std::vector<double> calls = std::vector<double>(endMs / 1000 + 1);
    std::vector<double> bytesOf = std::vector<double>(endMs / 1000 + 1);
    double longestMs = 0;
    double rows = 0;
    double rowBytes = 0;
    double mostRows = 0;
    double mostBytes = 0;

private:
    double m_callMs;
    double m_freeAt = 0;
    std::map<std::size_t, double> m_partFreeAt;
};

class Simulation
{
public:
    Simulation(const Fleet &fleet, const Release &release, const Plan &plan)
        : m_fleet(fleet)
        , m_release(release)
        , m_plan(plan)
        , m_store(fleet.writesPerS)
        , m_hosts(fleet.hosts)
    {
        for (Host &host : m_hosts) {
            host.lateMs = 200 + static_cast<int>(m_random() % 400);
            host.phaseMs = static_cast<int>(m_random() % (reportMs / tickMs)) * tickMs;
        }
        drawStreams();
    }

    void run();
    void print();

private:
    struct Row
    {
        std::string key;
        int at = 0;
        double bytes = 0;
    };
    struct Host
    {
        StreamOrigins origins;
        int lateMs = 0;
        int phaseMs = 0;
        int nextWriteAt = 0;
        std::deque<Row> rows;
        std::deque<std::size_t> streams;
        std::vector<Step> steps;
    };

    void drawStreams();
    void begin(std::size_t index, int now);
    void learn(std::size_t index, int now);
    void list(std::size_t index, int now);
    void report(std::size_t sender, int now);
    void write(std::size_t writer, int now);
    void put(std::size_t writer, const StreamChanges &changes, int now);
    /// \a beganBy leaves out streams that began later.
    void printKills(int from, int to, int beganBy = never);

    bool isLarge() const { return m_fleet.hosts >= 12; }
    int memoryMs() const
    {
        return static_cast<int>(
            std::chrono::duration_cast<Milliseconds>(m_hosts[0].origins.memory()).count());
    }

    const Fleet &m_fleet;
    const Release &m_release;
    const Plan &m_plan;
    std::mt19937_64 m_random{20261};
    Store m_store;
    std::vector<Host> m_hosts;
    std::vector<Stream> m_streams;
    std::unordered_map<StreamId, std::size_t> m_byId;
    Platform::StoreCodec m_codec;
    std::uint64_t m_lastRow = 0;
};

void Simulation::drawStreams()
{
    std::exponential_distribution<double> gap(m_fleet.streamsPerS / 1000);
    std::exponential_distribution<double> shortTime(1.0 / 1000);
    std::uniform_real_distribution<double> share(0, 1);
    for (double time = 0; time < endMs; time += gap(m_random)) {
        Stream it;
        it.id = m_random();
        it.host = m_random() % m_fleet.hosts;
        it.beganAt = static_cast<int>(time);
        const double length = share(m_random) < 0.05 ? 8000 : shortTime(m_random);
        it.endsAt = it.beganAt + static_cast<int>(std::min(8000.0, length));
        const double newShare = shareAt(m_release.steps, it.beganAt - m_hosts[it.host].lateMs);
        it.isException = newShare > 0 && newShare < 1 && share(m_random) < m_plan.exceptions;
        it.isNew = isNewBy(it.id, newShare) != it.isException;
        m_byId[it.id] = m_streams.size();
        m_streams.push_back(it);
    }
}

void Simulation::list(std::size_t index, int now)
{
    Stream &stream = m_streams[index];
    if (stream.isListed)
        return;
    stream.isListed = true;
    m_hosts[stream.host].origins.recordBegun(stream.id, versions[stream.isNew], at(now));
}

void Simulation::begin(std::size_t index, int now)
{
    Stream &stream = m_streams[index];
    Host &host = m_hosts[stream.host];
    if (!m_plan.isFunction()) {
        list(index, now);
        return;
    }
    host.streams.push_back(index);
    if (stream.isException && m_plan.way == Way::FunctionFirst) {
        // The store has the row before the first event is forwarded.
        stream.isListed = true;
        StreamRow row{std::to_string(++m_lastRow), Milliseconds(now), {}};
        row.begun = {{versions[stream.isNew], {stream.id}}};
        put(stream.host, {{row}, {}}, now);
        stream.storedAt = stream.beganAt;
        return;
    }
    if (stream.isException || isAmbiguous(host.steps, stream.id, now, memoryMs()))
        list(index, now);
}

void Simulation::learn(std::size_t index, int now)
{
    Host &host = m_hosts[index];
    const int heardAt = now - host.lateMs;
    for (const Step &step : m_release.steps) {
        if (step.at > heardAt || step.at <= heardAt - tickMs)
            continue;
        host.origins.recordVersion(versions[1], at(now), at(now));
        host.steps.push_back({now, step.share});
        // Those which began before may now be told another version than their own.
        for (const std::size_t stream : host.streams) {
            if (isAmbiguous(host.steps, m_streams[stream].id, now, memoryMs()))
                list(stream, now);
        }
        if (m_plan.way == Way::OwnOnceThenLeader && host.steps.size() == 1)
            write(index, now);
    }
}

void Simulation::report(std::size_t sender, int now)
{
    using Source = StreamOrigins::Source;
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < lostReports || sender == 0)
        return;
    const bool isLeader = sender < m_fleet.zones;
    const std::size_t receiver = isLarge() && !isLeader ? sender % m_fleet.zones : 0;
    const bool isOfZone = isLarge() && isLeader;
    m_hosts[receiver].origins.apply(
        m_hosts[sender].origins.reports(isOfZone ? Source::OwnZone : Source::OtherZone, at(now)),
        isLarge() && !isLeader ? Source::OwnZone : Source::OtherZone, isLarge(), at(now));
}

void Simulation::put(std::size_t writer, const StreamChanges &changes, int now)
{
    // The first leader removes what others wrote once, or before a first event.
    Host &host = m_hosts[m_plan.isByHosts() ? writer : 0];
    const double bytes = static_cast<double>(m_codec.writeStreams(changes).body.size());
    const double newBytes =
        static_cast<double>(m_codec.writeStreams({changes.puts, {}}).body.size());
    const std::size_t part = !m_plan.isByHosts() && writer == 0 ? 0 : 1 + writer % maxParts;
    const int doneAt = m_store.call(now, part, bytes);
    for (const StreamRow &row : changes.puts) {
        host.rows.push_back({row.key, now, newBytes / static_cast<double>(changes.puts.size())});
        for (const StreamReport &begun : row.begun) {
            for (const StreamId id : begun.streams) {
                int &storedAt = m_streams[m_byId[id]].storedAt;
                storedAt = std::min(storedAt, doneAt);
            }
            host.origins.recordStored(begun.streams);
        }
    }
    m_store.rows += static_cast<double>(changes.puts.size());
    m_store.rowBytes += changes.puts.empty() ? 0 : newBytes;
    m_store.mostRows = std::max(m_store.mostRows, m_store.rows);
    m_store.mostBytes = std::max(m_store.mostBytes, m_store.rowBytes);
    if (m_plan.way != Way::RowEach && (m_plan.isByHosts() || writer == 0))
        host.nextWriteAt = std::max(now + m_plan.interval, doneAt);
}

void Simulation::write(std::size_t writer, int now)
{
    Host &host = m_hosts[writer];
    StreamChanges changes;
    const bool isRowEach = m_plan.way == Way::RowEach;
    const std::size_t ofRow = isRowEach ? 1 : streamsOfRow;
    std::size_t inRow = ofRow;
    for (const StreamReport &begun :
         host.origins.unstored(isRowEach ? maxRemovals : 20'000, at(now))) {
        for (std::size_t i = 0; i < begun.streams.size();) {
            if (inRow >= ofRow) {
                char key[17];
                std::snprintf(key, sizeof(key), "%016x", static_cast<unsigned>(now));
                changes.puts.push_back({std::string(key) + "-edge-lis-a-1.0123456789abcdef-"
                                            + std::to_string(++m_lastRow),
                                        Milliseconds(now),
                                        {}});
                inRow = 0;
            }
            const std::size_t count = std::min(ofRow - inRow, begun.streams.size() - i);
            const auto first = begun.streams.begin() + static_cast<std::ptrdiff_t>(i);
            changes.puts.back().begun.push_back(
                {begun.origin, {first, first + static_cast<std::ptrdiff_t>(count)}});
            inRow += count;
            i += count;
        }
    }
    const auto isDue = [&](std::size_t i) {
        return host.rows.size() > i && now - host.rows[i].at >= memoryMs();
    };
    // Removals wait for a call with new rows, or for a full one.
    const bool mayRemove = !isRowEach || !changes.puts.empty() || isDue(maxRemovals - 1);
    while (mayRemove && isDue(0) && changes.removals.size() < maxRemovals) {
        changes.removals.push_back(host.rows.front().key);
        m_store.rows -= 1;
        m_store.rowBytes -= host.rows.front().bytes;
        host.rows.pop_front();
    }
    if (!changes.isEmpty())
        put(writer, changes, now);
}

void Simulation::run()
{
    std::size_t next = 0;
    for (int now = 0; now < endMs; now += tickMs) {
        for (; next < m_streams.size() && m_streams[next].beganAt <= now; ++next)
            begin(next, now);
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            Host &host = m_hosts[i];
            learn(i, now);
            if (now % 1000 == 0) {
                if (now < m_release.oldGoneAt)
                    host.origins.recordVersion(versions[0], at(now), at(now));
                if (now >= releaseMs + host.lateMs)
                    host.origins.recordVersion(versions[1], at(now), at(now));
                host.origins.advance(at(now));
                while (!host.streams.empty()
                       && now - m_streams[host.streams.front()].beganAt >= memoryMs())
                    host.streams.pop_front();
            }
            if (!m_plan.isByHosts() && now % reportMs == host.phaseMs)
                report(i, now);
            const bool isWriter = i == 0 || m_plan.isByHosts();
            const bool isDue =
                m_plan.way == Way::RowEach || now % writerTickMs == host.phaseMs % writerTickMs;
            if (isWriter && isDue && now >= host.nextWriteAt)
                write(i, now);
        }
    }
}

void Simulation::printKills(int from, int to, int beganBy)
{
    std::mt19937_64 random(20262);
    double open = 0;
    double known = 0;
    double wrong = 0;
    for (int i = 0; i < kills; ++i) {
        const int killAt = from + static_cast<int>(random() % static_cast<unsigned>(to - from));
        auto it = std::ranges::lower_bound(m_streams, killAt - 8000, {}, &Stream::beganAt);
        for (; it != m_streams.end() && it->beganAt <= killAt; ++it) {
            if (it->endsAt <= killAt || it->beganAt > beganBy)
                continue;
            ++open;
            const int lastLate = 600 + tickMs;
            if (it->storedAt <= killAt) {
                ++known;
            } else if (m_plan.isFunction()
                       && !isAmbiguous(m_release.steps, it->id, killAt, memoryMs() + lastLate)) {
                const bool told = isNewBy(it->id, shareAt(m_release.steps, killAt));
                ++(told == it->isNew ? known : wrong);
            }
        }
    }
    std::printf(" | %5.1f%% %5.2f%%", 100 * known / open, 100 * wrong / open);
}

void Simulation::print()
{
    // Versions are mixed for as long as origins are remembered.
    const int until = m_release.oldGoneAt == never ? endMs : m_release.oldGoneAt + memoryMs();
    std::printf("  %-24s", m_plan.name);
    printKills(releaseMs, releaseMs + 2000);
    printKills(releaseMs + 2000, releaseMs + 8000, releaseMs);
    printKills(releaseMs + 8000, until);
    double calls = 0;
    double bytes = 0;
    double most = 0;
    int seconds = 0;
    for (int i = releaseMs / 1000; i < until / 1000; ++i, ++seconds) {
        const auto second = static_cast<std::size_t>(i);
        calls += m_store.calls[second];
        bytes += m_store.bytesOf[second];
        most = std::max(most, m_store.calls[second]);
    }
    calls /= seconds;
    bytes /= seconds;
    const bool isOfLeader = m_plan.way == Way::FirstLeader || m_plan.way == Way::FunctionBatch;
    const double parts = isOfLeader ? 1 : static_cast<double>(std::min(maxParts, m_fleet.hosts));
    const double pages =
        parts + std::floor(std::max(m_store.mostRows / pageRows, m_store.mostBytes / pageBytes));
    const double hosts = static_cast<double>(m_fleet.hosts);
    const double readMs =
        1000
        * std::max(hosts * pages / m_fleet.readsPerS, hosts * m_store.mostBytes / linkBytesPerS);
    std::printf(" | %7.1f %7.0f %7.0f | %8.0f | %8.1f %8.2f | %7.0f %8.0f %9.1f %6.0f %8.1f\n",
                calls, most, m_store.longestMs, bytes / 1000, 60 * calls * m_fleet.callPrice,
                60 * bytes / 1e9 * m_fleet.gbPrice, m_store.mostRows, m_store.mostBytes / 1000,
                hosts * m_store.mostBytes / 1e6, readMs,
                hosts * (pages * m_fleet.callPrice + m_store.mostBytes / 1e9 * m_fleet.gbPrice));
}

void measureKeeping()
{
    const Release releases[] = {
        {"10/90", {{releaseMs, 0.1}}, never},
        {"50/50", {{releaseMs, 0.5}}, never},
        {"one ninth a second", ninths(), releaseMs + 10'000},
        {"all at once", {{releaseMs, 0.5}, {releaseMs + 1000, 1}}, releaseMs + 1500}};
    const Plan plans[] = {{"first leader, 50 ms", Way::FirstLeader, 50},
                          {"first leader, 100 ms", Way::FirstLeader, 100},
                          {"first leader, 250 ms", Way::FirstLeader, 250},
                          {"first leader, 500 ms", Way::FirstLeader, 500},
                          {"own once, then leader", Way::OwnOnceThenLeader, 100},
                          {"each host, 250 ms", Way::EachHost, 250},
                          {"each host, 1000 ms", Way::EachHost, 1000},
                          {"function, batch 100 ms", Way::FunctionBatch, 100, 0.02},
                          {"function, written first", Way::FunctionFirst, 100, 0.02},
                          {"a row each", Way::RowEach, 0}};
    for (const Fleet &fleet : fleets) {
        for (const Release &release : releases) {
            std::printf("%zu hosts, %.1f streams/s, %s\n", fleet.hosts, fleet.streamsPerS,
                        release.name);
            std::printf("  %-24s | first 2 s | 2 to 8 s, begun before | later | calls/s, most,"
                        " longest ms | written KB/s | price a minute: calls, bytes | rows, KB,"
                        " read by all MB, ms, price\n",
                        "way");
            for (const Plan &plan : plans) {
                Simulation simulation(fleet, release, plan);
                simulation.run();
                simulation.print();
            }
        }
    }
}

} // namespace

int main()
{
    measureKeeping();
    measurePlacement();
    return 0;
}
