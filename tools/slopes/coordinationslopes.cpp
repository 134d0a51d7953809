#include "base/random.h"
#include "coordination/homemap.h"
#include "coordination/membership.h"
#include "coordination/serviceledger.h"
#include "settings/changecodec.h"
#include "slopes/instruments.h"
#include "slopes/measurements.h"

#include <memory>
#include <utility>
#include <vector>

namespace Slopes {

namespace {

using namespace std::chrono_literals;

constexpr Base::Incarnation hostIncarnation = 1764700000000;
/// Pool shards that one router is the home of. 475 shards of 24 servers on 420 routers are 1.1
/// shards for each router in the mean, and rendezvous hashing is uneven enough to give some routers
/// three.
constexpr std::size_t shardsPerHome = 3;

Base::HostId hostName(std::size_t index)
{
    return Base::HostId("router-" + std::to_string(index));
}

Coordination::Membership makeMembership(std::size_t members, std::uint64_t heartbeatsPerFull)
{
    Coordination::MembershipPolicy policy;
    policy.heartbeatsPerFull = heartbeatsPerFull;
    Storage::HostListing listing;
    listing.version = 1;
    for (std::size_t i = 0; i < members; ++i) {
        Storage::ListedHost host;
        host.name = hostName(i).value();
        host.zone = Base::ZoneId("zone-" + std::to_string(i % 4));
        host.address = "10.20.3.17:7400";
        host.callerAddress = "10.20.3.17:8080";
        host.incarnation = hostIncarnation;
        listing.hosts.push_back(host);
    }
    auto membership = Coordination::Membership::create(
        policy, {hostName(0), hostIncarnation, Base::ZoneId("zone-0"), "10.20.3.17:7400",
                 "10.20.3.17:8080"});
    membership->seed(listing, Base::TimePoint{1s});
    return std::move(*membership);
}

Coordination::Heartbeat nextHeartbeat(Coordination::Membership &membership, Base::TimePoint now,
                                      Base::RandomSource &random)
{
    Coordination::Heartbeat heartbeat = *membership.dueHeartbeat(now);
    for (std::size_t i = 0; i < shardsPerHome; ++i) {
        heartbeat.pools.push_back({Base::PoolId("model/general-7b"), std::uint32_t(i),
                                   std::uint32_t(random.next() % 40),
                                   std::uint32_t(random.next() % 3), 30.0});
    }
    membership.omitUnchanged(heartbeat);
    return heartbeat;
}

/// Reports the costs of one heartbeat, with every pool in it if \a isFull, else with only those
/// that changed. Returns the mean bytes of a heartbeat.
double measureHeartbeat(const Report &report, std::size_t members, bool isFull, std::uint64_t seed)
{
    constexpr std::size_t count = 500;
    Base::SeededRandom random(seed);
    Coordination::Membership sender = makeMembership(members, isFull ? 1 : 1000000);
    Base::TimePoint now{1s};
    nextHeartbeat(sender, now += 500ms, random);
    std::vector<Coordination::Heartbeat> sent;
    const std::string sizes =
        sizeLabel("members", members) + std::string(isFull ? " full" : " minimal");
    const auto add = [&](const char *what, double value, const char *unit) {
        report.add({what, sizes, value, unit});
    };
    add("heartbeat build",
        medianMicroseconds(count,
                           [&] { sent.push_back(nextHeartbeat(sender, now += 500ms, random)); }),
        "us");
    std::size_t bytes = 0;
    for (const Coordination::Heartbeat &heartbeat : sent)
        bytes += wireSize(heartbeat);
    const double mean = static_cast<double>(bytes) / static_cast<double>(sent.size());
    std::size_t next = 0;
    std::vector<std::string> encoded;
    add("heartbeat encode",
        medianMicroseconds(count, [&] { encoded.push_back(encode(sent[next++])); }), "us");
    next = 0;
    std::size_t decoded = 0;
    add("heartbeat decode", medianMicroseconds(count, [&] { decoded += decode(encoded[next++]); }),
        "us");
    Coordination::Membership receiver = makeMembership(members, 30);
    now = Base::TimePoint{1s};
    next = 0;
    add("heartbeat receive",
        medianMicroseconds(count,
                           [&] {
                               Coordination::Heartbeat heartbeat = sent[next++];
                               heartbeat.host = hostName(1 + next % (members - 1));
                               receiver.receive(heartbeat, now);
                           }),
        "us");
    add("heartbeat bytes", mean, "B");
    if (decoded != sent.size())
        add("heartbeats not decoded", static_cast<double>(sent.size() - decoded), "");
    return mean;
}

std::vector<Base::CustomerId> customerNames(std::size_t count)
{
    std::vector<Base::CustomerId> names;
    for (std::size_t i = 0; i < count; ++i)
        names.emplace_back("customer-" + std::to_string(i));
    return names;
}

Coordination::ServiceLedger makeLedger(std::size_t host)
{
    return std::move(*Coordination::ServiceLedger::create({}, hostName(host), hostIncarnation,
                                                          Base::PoolId("model/general-7b")));
}

/// Reports the cost of a ledger of \a customers customers, and of a delta with \a changed of them.
void measureDelta(const Report &report, std::size_t customers, std::size_t changed)
{
    const std::vector<Base::CustomerId> names = customerNames(customers);
    const std::string sizes =
        sizeLabel("customers", customers) + " " + sizeLabel("changed", changed);
    std::size_t before = allocatedBytes();
    Coordination::ServiceLedger home = makeLedger(17);
    for (const Base::CustomerId &name : names)
        home.charge(name, 1000);
    const auto ownMemory = static_cast<double>(allocatedBytes() - before);
    Coordination::ServiceLedger peer = makeLedger(4);
    before = allocatedBytes();
    peer.merge(*home.takeDelta());
    const auto peerMemory = static_cast<double>(allocatedBytes() - before);
    std::vector<Coordination::LedgerDelta> deltas;
    const double make = medianMicroseconds(20, [&] {
        for (std::size_t i = 0; i < changed; ++i)
            home.charge(names[i], 500);
        deltas.push_back(*home.takeDelta());
    });
    std::vector<std::string> encoded;
    std::size_t next = 0;
    const double encoding =
        medianMicroseconds(20, [&] { encoded.push_back(encode(deltas[next++])); });
    next = 0;
    const double decoding = medianMicroseconds(20, [&] { decode(encoded[next++]); });
    next = 0;
    const double merging = medianMicroseconds(20, [&] { peer.merge(deltas[next++]); });
    report.add({"ledger charges and delta", sizes, make, "us"});
    report.add({"ledger delta encode", sizes, encoding, "us"});
    report.add({"ledger delta decode", sizes, decoding, "us"});
    report.add({"ledger delta merge", sizes, merging, "us"});
    report.add({"ledger delta bytes", sizes, static_cast<double>(wireSize(deltas.back())), "B"});
    report.add(
        {"ledger snapshot bytes", sizes, static_cast<double>(wireSize(home.snapshot())), "B"});
    const auto count = static_cast<double>(customers);
    report.add({"ledger memory, charged here", sizes, ownMemory / count, "B/customer"});
    report.add({"ledger memory, seen of one peer", sizes, peerMemory / count, "B/customer"});
}

} // namespace

void measureHeartbeats(const Report &report, std::uint64_t seed)
{
    for (const std::size_t members : {8, 32, 39, 128, 420}) {
        const double full = measureHeartbeat(report, members, true, seed);
        const double minimal = measureHeartbeat(report, members, false, seed);
        const double mean = (full + 29 * minimal) / 30;
        report.add({"heartbeats to all peers", sizeLabel("members", members),
                    mean * 2 * static_cast<double>(members - 1), "B/s"});
        Coordination::Membership membership = makeMembership(members, 30);
        Base::TimePoint now{1s};
        report.add({"membership advance", sizeLabel("members", members),
                    medianMicroseconds(500, [&] { membership.advance(now += 10ms); }), "us"});
    }
}

void measureLedger(const Report &report)
{
    measureDelta(report, 16, 16);
    measureDelta(report, 940, 94);
    measureDelta(report, 9400, 940);
}

void measureConfiguration(const Report &report)
{
    for (const std::size_t customers : {16, 9400}) {
        const std::string sizes = sizeLabel("customers", customers);
        const std::size_t before = allocatedBytes();
        Settings::Configuration configuration;
        Settings::ConfigurationVersion version = 0;
        for (const Base::CustomerId &name : customerNames(customers))
            configuration.apply(
                {++version, Settings::Customer{name, std::string(60, 'a') + name.value()}});
        const auto memory = static_cast<double>(allocatedBytes() - before);
        const auto change = [&] {
            return Settings::ConfigurationChange{
                version + 1, Settings::ClassTarget{Base::ClassId("replies"), 1500ms, 0.5}};
        };
        report.add({"configuration change apply", sizes,
                    medianMicroseconds(2000,
                                       [&] {
                                           configuration.apply(change());
                                           ++version;
                                       }),
                    "us"});
        std::string text;
        report.add(
            {"configuration change to text", sizes,
             medianMicroseconds(
                 500,
                 [&] { text = Settings::encodeChange(change(), "router-17/1764700000000/1"); }),
             "us"});
        report.add({"configuration change from text", sizes,
                    medianMicroseconds(500,
                                       [&] {
                                           if (!Settings::decodeChange(version + 1, text))
                                               text.clear();
                                       }),
                    "us"});
        const Node::ConfigurationPush push{{change()}};
        report.add({"configuration push encode", sizes,
                    medianMicroseconds(500, [&] { encode(push); }), "us"});
        report.add({"configuration push bytes", sizes, static_cast<double>(wireSize(push)), "B"});
        report.add(
            {"configuration snapshot encode", sizes,
             medianMicroseconds(5, [&] { text = Settings::encodeConfiguration(configuration); }),
             "us"});
        report.add({"configuration snapshot text", sizes, static_cast<double>(text.size()), "B"});
        report.add({"configuration snapshot to peer", sizes,
                    static_cast<double>(wireSize(Node::ConfigurationSnapshot{configuration})),
                    "B"});
        report.add(
            {"configuration memory", sizes, memory / static_cast<double>(customers), "B/customer"});
    }
}

void measureHomeOrder(const Report &report)
{
    for (const std::size_t routers : {8, 32, 39, 128, 420}) {
        std::vector<Base::HostId> names;
        for (std::size_t i = 0; i < routers; ++i)
            names.push_back(hostName(i));
        std::uint32_t shard = 0;
        report.add({"home order", sizeLabel("routers", routers),
                    medianMicroseconds(200,
                                       [&] {
                                           Coordination::homeOrder(Base::PoolId("model/general-7b"),
                                                                   ++shard, names);
                                       }),
                    "us"});
    }
}

} // namespace Slopes
