#include "gateway/serverentries.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};
constexpr std::size_t pageSize = 200;

/// A store whose answers about changes may lack those of the last moments.
class ModelStore
{
public:
    void put(const std::string &key, const std::string &address)
    {
        m_rows[key] = {++m_version, address};
    }
    void remove(const std::string &key) { m_rows[key] = {++m_version, {}}; }

    std::set<std::string> addresses() const
    {
        std::set<std::string> addresses;
        for (const auto &[key, row] : m_rows) {
            if (!row.address.empty())
                addresses.insert(key + "=" + row.address);
        }
        return addresses;
    }
    std::uint64_t version() const { return m_version; }

    ServerReading page(const std::string &from) const
    {
        ServerReading reading;
        reading.storeVersion = m_version;
        for (auto it = m_rows.lower_bound(from); it != m_rows.end(); ++it) {
            if (reading.servers.size() == pageSize) {
                reading.continueFrom = it->first;
                break;
            }
            add(reading, it->first, it->second);
        }
        reading.removed.clear();
        return reading;
    }
    /// Returns the changes after \a version without those after \a upTo.
    ServerReading changes(std::uint64_t version, std::uint64_t upTo) const
    {
        ServerReading reading;
        reading.storeVersion = m_version;
        for (const auto &[key, row] : m_rows) {
            if (row.version > version && row.version <= upTo)
                add(reading, key, row);
        }
        return reading;
    }

private:
    struct Row
    {
        std::uint64_t version = 0;
        /// Empty if the row was removed.
        std::string address;
    };

    static void add(ServerReading &reading, const std::string &key, const Row &row)
    {
        reading.newestEntryVersion = std::max(reading.newestEntryVersion, row.version);
        if (row.address.empty()) {
            reading.removed.push_back(key);
            return;
        }
        Routing::RegisteredServer server;
        server.start.name = key;
        server.id = Base::ServerId(key);
        server.address = row.address;
        reading.servers.push_back(server);
    }

    std::map<std::string, Row> m_rows;
    std::uint64_t m_version = 0;
};

/// Reads until the entries are complete. Returns the number of entries that were transferred.
std::size_t read(ServerEntries &entries, const ModelStore &store, std::uint64_t upTo,
                 Base::TimePoint now)
{
    std::size_t transferred = 0;
    for (bool isComplete = false; !isComplete;) {
        const std::optional<std::uint64_t> from = entries.changesFrom();
        const ServerReading reading =
            from ? store.changes(*from, upTo) : store.page(entries.nextPage());
        transferred += reading.servers.size() + reading.removed.size();
        isComplete = entries.take(reading, now);
    }
    return transferred;
}

std::set<std::string> addresses(const ServerEntries &entries)
{
    std::set<std::string> addresses;
    for (const Routing::RegisteredServer &it : entries.servers())
        addresses.insert(it.start.name + "=" + it.address);
    return addresses;
}

} // namespace

TEST_CASE("the bytes read of the servers' entries grow with the changes, not with the servers",
          "[gateway]")
{
    // Guards against megabytes that each availability zone reads of the store every second where
    // thousands of servers are registered.
    std::map<int, std::size_t> transferred;
    for (const int n : {1000, 10000}) {
        ModelStore store;
        for (int i = 0; i < n; ++i)
            store.put("s" + std::to_string(i), "1");
        ServerEntries entries;
        Base::TimePoint now = start;
        CHECK(read(entries, store, store.version(), now) == static_cast<std::size_t>(n));
        for (int i = 0; i < 50; ++i) {
            store.put("s" + std::to_string(i), "2");
            transferred[n] += read(entries, store, store.version(), now += milliseconds(600));
        }
        CHECK(addresses(entries) == store.addresses());
    }
    CHECK(transferred[1000] == 50);
    CHECK(transferred[10000] == 50);
}

TEST_CASE("the entries of servers are those of the store, however late its answers are",
          "[gateway]")
{
    // Guards against servers that are gone and stay in the list, or are never found, because an
    // answer did not contain the most recent changes.
    rc::prop("any changes, answers that lack those of the last seconds", [] {
        ModelStore store;
        ServerEntries entries;
        Base::TimePoint now = start;
        std::uint64_t shown = 0;
        int behind = 0;
        for (int step = 0; step < 40; ++step) {
            now += milliseconds(600);
            const auto changes = *rc::gen::inRange(0, 3);
            for (int i = 0; i < changes; ++i) {
                const std::string key = "s" + std::to_string(*rc::gen::inRange(0, 8));
                if (*rc::gen::arbitrary<bool>())
                    store.put(key, std::to_string(step));
                else
                    store.remove(key);
            }
            // Answers fall behind for less than three seconds, and contain what an earlier one
            // contained.
            if (*rc::gen::arbitrary<bool>() || ++behind == 5) {
                shown = store.version();
                behind = 0;
            }
            read(entries, store, shown, now);
            if (*rc::gen::inRange(0, 20) == 0)
                entries.clear();
        }
        read(entries, store, store.version(), now);
        RC_ASSERT(addresses(entries) == store.addresses());
    });
}

TEST_CASE("a host that begins to read goes on from what it has from others", "[gateway]")
{
    // Guards against each host that reads for itself, or leads its zone from now on, reading all
    // entries: hundreds may do so at the same moment.
    ModelStore store;
    for (int i = 0; i < 1000; ++i)
        store.put("s" + std::to_string(i), "1");
    ServerEntries reader;
    read(reader, store, store.version(), start);
    const std::uint64_t version = store.version();
    store.put("s0", "2");
    store.remove("s1");
    ServerEntries successor;
    successor.takeOver({reader.servers(), version});
    CHECK(read(successor, store, store.version(), start) == 2);
    CHECK(addresses(successor) == store.addresses());
}

TEST_CASE("changes that do not fit one answer are read at once", "[gateway]")
{
    ModelStore store;
    store.put("s", "1");
    ServerEntries entries;
    read(entries, store, store.version(), start);
    ServerReading reading;
    reading.storeVersion = 500;
    for (int i = 0; i < 500; ++i)
        reading.removed.push_back("r" + std::to_string(i));
    CHECK_FALSE(entries.take(reading, start + seconds(1)));
    CHECK(entries.take({}, start + seconds(1)));
}
