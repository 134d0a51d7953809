// Measures how the costs of the coordination library (bytes, time, memory, delay) grow with the
// number of customers, pools and routers. docs/design/ cites its output.

#include "base/random.h"
#include "coordination/configurationreplica.h"
#include "coordination/membership.h"
#include "coordination/serviceledger.h"
#include "settings/changecodec.h"
#include "support/manualtable.h"
#include "wire/peercodec.h"

#include <algorithm>
#include <cstdio>
#include <malloc.h>
#include <memory>

namespace {

using namespace std::chrono_literals;
using namespace Coordination;
using Stopwatch = std::chrono::steady_clock;

const Base::PoolId pool("model/general-7b");

/// Returns the bytes that \a message adds to a batch between two routers.
std::size_t wireSize(const Node::PeerMessage &message)
{
    const Wire::BatchEndpoints batchEnds{Base::HostId("router-17"), 1764700000000,
                                         Base::HostId("router-4")};
    lagoonmast::wire::Batch batch;
    Wire::startBatch(batch, batchEnds);
    return Wire::appendMessage(batch, batchEnds, message);
}

std::unique_ptr<ServiceLedger> makeLedger(const std::string &host)
{
    return std::make_unique<ServiceLedger>(
        *ServiceLedger::create({}, Base::HostId(host), 1764700000000, pool));
}

/// Returns the time since \a since, divided by \a count.
double meanMicroseconds(Stopwatch::time_point since, std::size_t count)
{
    const std::chrono::duration<double, std::micro> elapsed = Stopwatch::now() - since;
    return elapsed.count() / static_cast<double>(count);
}

/// Prints the size of a ledger's delta and snapshot, the time of its operations for each customer,
/// and its memory.
void measureLedger(std::size_t customers)
{
    auto home = makeLedger("router-17");
    auto peer = makeLedger("router-4");
    const std::size_t before = mallinfo2().uordblks;
    for (std::size_t i = 0; i < customers; ++i)
        home->charge(Base::CustomerId("customer-" + std::to_string(i)), 1000 + i);
    const std::size_t memory = (mallinfo2().uordblks - before) / customers;
    auto since = Stopwatch::now();
    const LedgerDelta delta = *home->takeDelta();
    const double take = meanMicroseconds(since, customers);
    since = Stopwatch::now();
    peer->merge(delta);
    const double merge = meanMicroseconds(since, customers);
    std::size_t sum = 0;
    since = Stopwatch::now();
    for (const LedgerEntry &entry : delta.entries)
        sum += peer->position(entry.customer);
    const double position = meanMicroseconds(since, customers);
    std::printf("ledger customers=%zu delta_bytes=%zu bytes_per_entry=%.1f take_us=%.3f "
                "merge_us=%.3f position_us=%.3f snapshot_bytes=%zu memory_per_customer=%zu (%zu)\n",
                customers, wireSize(delta), double(wireSize(delta)) / double(customers), take,
                merge, position, wireSize(peer->snapshot()), memory, sum % 10);
}

/// Prints the size of 240 heartbeats of a router that is the home of \a pools pools and knows \a
/// marks leaving servers.
void measureHeartbeat(std::size_t pools, std::size_t marks)
{
    Membership membership =
        *Membership::create({}, {Base::HostId("router-17"), 1764700000000, Base::ZoneId("langley"),
                                 "10.20.3.17:7400", "10.20.3.17:8080"});
    Storage::HostListing listing;
    for (std::size_t i = 0; i < marks; ++i) {
        Storage::ListedHost host;
        host.name = "model-server-" + std::to_string(i);
        host.role = Storage::HostRole::ModelServer;
        host.state = Storage::HostState::Leaving;
        host.incarnation = 1764700000000;
        listing.hosts.push_back(host);
    }
    Base::TimePoint now{1s};
    membership.seed(listing, now);
    Base::SeededRandom random(20261);
    std::size_t bytes = 0;
    std::size_t largest = 0;
    constexpr int count = 240;
    for (int i = 0; i < count; ++i) {
        Heartbeat heartbeat = *membership.dueHeartbeat(now += 500ms);
        for (std::size_t index = 0; index < pools; ++index)
            heartbeat.pools.push_back({pool, std::uint32_t(index),
                                       std::uint32_t(random.next() % 40),
                                       std::uint32_t(random.next() % 3), 30.0});
        membership.omitUnchanged(heartbeat);
        bytes += wireSize(heartbeat);
        largest = std::max(largest, wireSize(heartbeat));
    }
    const double mean = double(bytes) / count;
    std::printf("heartbeat pools=%zu marks=%zu mean_bytes=%.1f largest_bytes=%zu "
                "bytes_per_s_to_38_peers=%.0f\n",
                pools, marks, mean, largest, mean * 2 * 38);
}

/// Prints how long 100 configuration changes take to reach the last of \a count routers of one
/// region. The routers send heartbeats every 500 ms, and one router in each of four zones polls the
/// table.
void measurePropagation(std::size_t count)
{
    Fakes::Table sharedTable;
    struct Router
    {
        Router(Fakes::Table &table, const std::string &name)
            : connection(table)
            , replica(*ConfigurationReplica::create({}, connection, objects, operations, name))
        {}
        Storage::OperationIds operations;
        Fakes::ManualTable connection;
        Fakes::Objects objects;
        ConfigurationReplica replica;
        std::int64_t phase = 0;
    };
    Base::SeededRandom random(20261);
    std::vector<std::unique_ptr<Router>> routers;
    for (std::size_t i = 0; i < count; ++i) {
        routers.push_back(std::make_unique<Router>(sharedTable, "r" + std::to_string(i)));
        routers.back()->replica.setPolling(i < 4);
        routers.back()->phase = std::int64_t(random.next() % 50);
    }
    std::vector<Base::Duration> delays;
    std::size_t pushes = 0;
    std::size_t bytes = 0;
    Base::TimePoint now{1s};
    const auto step = [&](std::int64_t tick) {
        now += 10ms;
        for (auto &router : routers) {
            router->replica.advance(now);
            while (router->connection.waiting() > 0)
                router->replica.handle(router->connection.end(0, Fakes::Completion::Answered), now);
        }
        for (std::size_t from = 0; from < count; ++from) {
            if (tick % 50 != routers[from]->phase)
                continue;
            const auto version = routers[from]->replica.configuration().version();
            for (std::size_t to = 0; to < count; ++to) {
                const auto changes = routers[to]->replica.changesToPush(version, 200, now);
                if (to == from || changes.empty())
                    continue;
                ++pushes;
                bytes += wireSize(Node::ConfigurationPush{changes});
                routers[from]->replica.applyChanges(changes);
            }
        }
    };
    constexpr int changes = 100;
    std::int64_t tick = 0;
    for (int i = 1; i <= changes; ++i) {
        const std::size_t index = random.next() % count;
        routers[index]->replica.writeTarget(
            1, {Base::ClassId("class-" + std::to_string(i % 20)), Base::Milliseconds(i), 0.5},
            std::uint64_t(i - 1), now);
        const Base::TimePoint since = now;
        const auto isEverywhere = [&] {
            return std::all_of(routers.begin(), routers.end(), [&](const auto &router) {
                return router->replica.configuration().version() == std::uint64_t(i);
            });
        };
        while (!isEverywhere())
            step(++tick);
        delays.push_back(now - since);
        for (std::uint64_t pause = random.next() % 150; pause > 0; --pause)
            step(++tick);
    }
    std::sort(delays.begin(), delays.end());
    const auto seconds = [](Base::Duration time) {
        return std::chrono::duration<double>(time).count();
    };
    std::printf("configuration routers=%zu changes=%d to_last_router_median_s=%.2f largest_s=%.2f "
                "pushes_per_router_and_change=%.2f push_bytes_per_router_and_change=%.0f\n",
                count, changes, seconds(delays[delays.size() / 2]), seconds(delays.back()),
                double(pushes) / double(changes * count), double(bytes) / double(changes * count));
}

} // namespace

int main()
{
    for (const std::size_t customers : {16, 94, 940, 9400})
        measureLedger(customers);
    measureHeartbeat(0, 0);
    measureHeartbeat(3, 0);
    measureHeartbeat(3, 30);
    for (const std::size_t routers : {8, 39, 128})
        measurePropagation(routers);
}
