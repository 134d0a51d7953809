#include "gateway/hostreport.h"

#include "base/text.h"
#include "settings/address.h"
#include "untrusted/jsonbytes.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

using Json = nlohmann::json;

/// First element of a report. Reports with another format version are not read.
constexpr std::uint64_t formatVersion = 16;
constexpr double millisecondsPerSecond = 1000;
/// Numbers of requests are written in hundredths: a small host has only a few recent ones.
constexpr double hundredths = 100;
/// Start times are written in hundredths of a second, which take two bytes each.
constexpr double millisecondsOfStartUnit = 10;
/// The longest sum of start times that is read, of some hours.
constexpr std::uint64_t maxStartUnits = 1'000'000;
/// The largest amount of tokens or requests that is read. Sums over all hosts fit into the number
/// that a report has for them.
constexpr std::uint64_t maxAmount = 1'000'000'000'000;
/// The longest age or span that is read, of 24 days.
constexpr std::uint64_t maxSpanMs = INT32_MAX;
/// The beginning of the year 2100 in Unix milliseconds; in nanoseconds, much later times overflow.
constexpr std::uint64_t maxTimeMs = 4'102'444'800'000;
constexpr std::uint64_t largestPartKind =
    static_cast<std::uint64_t>(Routing::PartReport::Kind::Blocked);
constexpr std::uint64_t largestScope = static_cast<std::uint64_t>(ReportScope::Digest);

/// Reads the elements of an array one after the other. After the first element that is missing or
/// of another type, everything reads as empty and isGood() returns false.
class ArrayReader
{
public:
    explicit ArrayReader(const Json &json)
        : m_json(&json)
        , m_isGood(json.is_array())
    {}

    std::string text()
    {
        const Json *json = next();
        if (!json || !check(json->is_string()))
            return {};
        // CBOR states no encoding; a text that is not UTF-8 cannot be written as JSON.
        const auto &text = json->get_ref<const std::string &>();
        return check(Base::isUtf8(text)) ? text : std::string();
    }
    std::uint64_t number()
    {
        const Json *json = next();
        return json && check(json->is_number_unsigned()) ? json->get<std::uint64_t>() : 0;
    }
    bool flag()
    {
        const Json *json = next();
        return json && check(json->is_boolean()) && json->get<bool>();
    }
    /// Reads a number of at most \a largest.
    std::uint64_t number(std::uint64_t largest)
    {
        const std::uint64_t value = number();
        return check(value <= largest) ? value : 0;
    }
    /// Reads a number; a larger one is read as \a largest.
    std::uint64_t atMost(std::uint64_t largest) { return std::min(number(), largest); }
    std::uint32_t number32() { return static_cast<std::uint32_t>(atMost(UINT32_MAX)); }
    /// Calls \a read with a reader for each element of an array of arrays.
    template <typename Read>
    void forEach(Read read)
    {
        const Json *json = next();
        if (!json || !check(json->is_array()))
            return;
        for (const Json &it : *json) {
            ArrayReader inner(it);
            read(inner);
            check(inner.isGood());
        }
    }
    /// Reads an array of numbers.
    std::vector<std::uint64_t> numbers()
    {
        std::vector<std::uint64_t> numbers;
        const Json *json = next();
        if (!json || !check(json->is_array()))
            return numbers;
        for (const Json &it : *json) {
            if (check(it.is_number_unsigned()))
                numbers.push_back(it.get<std::uint64_t>());
        }
        return numbers;
    }
    bool isGood() const { return m_isGood; }
    /// Returns whether there is another element.
    bool hasMore() const { return m_isGood && m_at < m_json->size(); }

private:
    const Json *next()
    {
        if (!check(m_isGood && m_at < m_json->size()))
            return nullptr;
        return &(*m_json)[m_at++];
    }
    bool check(bool isGood)
    {
        m_isGood = m_isGood && isGood;
        return isGood;
    }

    const Json *m_json;
    std::size_t m_at = 0;
    bool m_isGood;
};

Json memberJson(const MemberState &member)
{
    return {member.host.value(),  member.zone.value(), member.peerAddress,
            member.callerAddress, member.isLeaving,    member.isServing,
            member.isStoreLost,   member.capacity,     member.load};
}

MemberState readMember(ArrayReader &reader)
{
    MemberState member;
    member.host = Base::HostId(reader.text());
    member.zone = Base::ZoneId(reader.text());
    member.peerAddress = reader.text();
    member.callerAddress = reader.text();
    member.isLeaving = reader.flag();
    member.isServing = reader.flag();
    member.isStoreLost = reader.flag();
    member.capacity = reader.number32();
    member.load = reader.number32();
    return member;
}

using Amounts = std::map<Base::CustomerId, double>;

Json amountsJson(const Amounts &amounts)
{
    Json json = Json::array();
    for (const auto &[customer, amount] : amounts)
        json.push_back({customer.value(), static_cast<std::uint64_t>(amount)});
    return json;
}

void readAmounts(ArrayReader &reader, Amounts &amounts)
{
    reader.forEach([&](ArrayReader &it) {
        const Base::CustomerId customer(it.text());
        amounts[customer] = static_cast<double>(it.atMost(maxAmount));
    });
}

Json loadJson(const Routing::HostLoad &load)
{
    Json servers = Json::array();
    for (const auto &[id, it] : load.servers) {
        Json server = {id.value(), it.running, it.unreadTokens};
        if (it.starts.expected >= millisecondsOfStartUnit) {
            server.push_back(static_cast<std::uint64_t>(it.starts.took / millisecondsOfStartUnit));
            server.push_back(
                static_cast<std::uint64_t>(it.starts.expected / millisecondsOfStartUnit));
        }
        servers.push_back(std::move(server));
    }
    Json uses = Json::array();
    for (const Routing::PartUse &use : load.partUses)
        uses.push_back({use.server.value(), use.hash});
    Json serviceUses = Json::array();
    for (const auto &[service, use] : load.serviceUses) {
        serviceUses.push_back({service, static_cast<std::uint64_t>(use.arrivals * hundredths),
                               static_cast<std::uint64_t>(use.answers * hundredths)});
    }
    return {std::move(servers),
            amountsJson(load.asked),
            amountsJson(load.received),
            amountsJson(load.begun),
            static_cast<std::uint64_t>(load.askedSeconds * millisecondsPerSecond),
            std::move(uses),
            std::move(serviceUses)};
}

/// Bounds what any report may claim, so that sums of reports can be written again.
double readStartTime(ArrayReader &reader)
{
    return static_cast<double>(reader.atMost(maxStartUnits)) * millisecondsOfStartUnit;
}

Routing::HostLoad readLoad(ArrayReader &reader)
{
    Routing::HostLoad load;
    reader.forEach([&](ArrayReader &it) {
        const Base::ServerId id(it.text());
        const auto running = it.number32();
        Routing::ServerLoad &server = load.servers[id];
        server.running = running;
        server.unreadTokens = it.number32();
        // Hosts that take servers for alike leave the rest out.
        if (!it.hasMore())
            return;
        server.starts.took = readStartTime(it);
        server.starts.expected = readStartTime(it);
    });
    readAmounts(reader, load.asked);
    readAmounts(reader, load.received);
    readAmounts(reader, load.begun);
    load.askedSeconds = static_cast<double>(reader.atMost(maxAmount)) / millisecondsPerSecond;
    reader.forEach([&](ArrayReader &it) {
        Routing::PartUse use;
        use.server = Base::ServerId(it.text());
        use.hash = it.number();
        load.partUses.push_back(use);
    });
    reader.forEach([&](ArrayReader &it) {
        const std::string service = it.text();
        Routing::ServiceUse &use = load.serviceUses[service];
        use.arrivals = static_cast<double>(it.atMost(maxAmount)) / hundredths;
        use.answers = static_cast<double>(it.atMost(maxAmount)) / hundredths;
    });
    return load;
}

constexpr std::uint64_t largestChangeKind =
    static_cast<std::uint64_t>(Routing::ServerChange::Kind::Gone);

Json changeJson(const Routing::ServerChange &change)
{
    const Routing::RegisteredServer &server = change.server;
    return {static_cast<std::uint64_t>(change.kind),
            server.id.value(),
            server.start.name,
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, server.start.at.count())),
            server.service,
            server.address,
            server.zone.value(),
            server.softwareVersion,
            server.slots,
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, server.warmingUp.count()))};
}

Routing::ServerChange readChange(ArrayReader &reader)
{
    Routing::ServerChange change;
    // An unknown kind is read as the largest known one. The sets of servers then differ, which a
    // reading of the store corrects.
    const std::uint64_t kind = std::min(reader.number(), largestChangeKind);
    change.kind = static_cast<Routing::ServerChange::Kind>(kind);
    change.server.id = Base::ServerId(reader.text());
    change.server.start.name = reader.text();
    change.server.start.at =
        Base::Milliseconds(static_cast<std::int64_t>(reader.atMost(maxTimeMs)));
    change.server.service = reader.text();
    change.server.address = reader.text();
    change.server.zone = Base::ZoneId(reader.text());
    change.server.softwareVersion = reader.text();
    change.server.slots = reader.number32();
    change.server.warmingUp =
        Base::Milliseconds(static_cast<std::int64_t>(reader.atMost(maxSpanMs)));
    return change;
}

/// Returns whether the store may name \a version. Longer names would grow the reports of all hosts.
bool isSound(const Routing::ServiceVersion &version)
{
    return !version.service.empty() && Base::isPlainName(version.service)
           && Base::isPlainName(version.softwareVersion);
}

/// Returns whether an entry of the store may name \a server.
bool isSound(const Routing::RegisteredServer &server)
{
    return isSound(Routing::ServiceVersion{server.service, server.softwareVersion})
           && !server.start.name.empty() && Base::isPlainName(server.start.name)
           && Base::isPlainName(server.zone.value()) && server.id == idOf(server.start)
           && server.slots > 0 && Settings::parseUnicastAddress(server.address);
}

/// Writes the age as two elements, so that no number has to stand for a missing age.
void pushAge(Json &to, const std::optional<Base::Milliseconds> &age)
{
    to.push_back(age.has_value());
    to.push_back(age ? static_cast<std::uint64_t>(age->count()) : 0);
}

std::optional<Base::Milliseconds> readAge(ArrayReader &reader)
{
    const bool isSet = reader.flag();
    const std::uint64_t age = reader.number();
    if (!isSet)
        return std::nullopt;
    return Base::Milliseconds(static_cast<std::int64_t>(std::min(age, maxSpanMs)));
}

/// Reads a time of the store's clock, which may be large.
Base::Milliseconds readStoreTime(ArrayReader &reader)
{
    return Base::Milliseconds(static_cast<std::int64_t>(reader.atMost(maxTimeMs)));
}

Base::Milliseconds readMilliseconds(ArrayReader &reader)
{
    return Base::Milliseconds(static_cast<std::int64_t>(reader.atMost(maxSpanMs)));
}

Json orderJson(const Routing::RolloutOrder &order)
{
    return {order.service, order.version, static_cast<std::uint64_t>(order.duration.count()),
            order.revision};
}

Routing::RolloutOrder readOrder(ArrayReader &reader)
{
    Routing::RolloutOrder order;
    order.service = reader.text();
    order.version = reader.text();
    order.duration = readMilliseconds(reader);
    order.revision = reader.number();
    return order;
}

Json versionsJson(const std::vector<Routing::VersionAge> &versions)
{
    Json json = Json::array();
    for (const Routing::VersionAge &it : versions) {
        json.push_back({it.version.service, it.version.softwareVersion,
                        static_cast<std::uint64_t>(it.age.count())});
    }
    return json;
}

Routing::VersionAge readVersionAge(ArrayReader &reader)
{
    Routing::VersionAge read;
    read.version.service = reader.text();
    read.version.softwareVersion = reader.text();
    read.age = readMilliseconds(reader);
    return read;
}

Json storeJson(const StoreState &store)
{
    Json json{store.configurationVersion, store.serversFingerprint, store.serversVersion};
    pushAge(json, store.proofAge);
    pushAge(json, store.outageAge);
    Json changes = Json::array();
    for (const Routing::ServerChange &change : store.serverChanges)
        changes.push_back(changeJson(change));
    json.push_back(std::move(changes));
    Json zones = Json::array();
    for (const Base::ZoneId &zone : store.evacuatedZones)
        zones.push_back(Json::array({zone.value()}));
    json.push_back(std::move(zones));
    json.push_back(store.evacuationVersion);
    Json orders = Json::array();
    for (const Routing::RolloutOrder &it : store.rollouts)
        orders.push_back(orderJson(it));
    json.push_back(std::move(orders));
    json.push_back(store.rolloutsVersion);
    json.push_back(store.operatorVersion);
    json.push_back(store.versions.has_value());
    json.push_back(versionsJson(store.versions.value_or(std::vector<Routing::VersionAge>())));
    return json;
}

StoreState readStore(ArrayReader &reader)
{
    StoreState store;
    store.configurationVersion = reader.number();
    store.serversFingerprint = reader.number();
    store.serversVersion = reader.number();
    store.proofAge = readAge(reader);
    store.outageAge = readAge(reader);
    reader.forEach([&](ArrayReader &it) {
        Routing::ServerChange change = readChange(it);
        if (change.kind != Routing::ServerChange::Kind::Found || isSound(change.server))
            store.serverChanges.push_back(std::move(change));
    });
    reader.forEach([&](ArrayReader &it) { store.evacuatedZones.emplace_back(it.text()); });
    store.evacuationVersion = reader.number();
    reader.forEach([&](ArrayReader &it) {
        Routing::RolloutOrder order = readOrder(it);
        if (isSound({order.service, order.version}))
            store.rollouts.push_back(std::move(order));
    });
    store.rolloutsVersion = reader.number();
    store.operatorVersion = reader.number();
    const bool areVersionsKnown = reader.flag();
    std::vector<Routing::VersionAge> versions;
    reader.forEach([&](ArrayReader &it) {
        Routing::VersionAge age = readVersionAge(it);
        if (isSound(age.version))
            versions.push_back(std::move(age));
    });
    if (areVersionsKnown)
        store.versions = std::move(versions);
    return store;
}

Json crashJson(const Routing::CrashReport &crash)
{
    return {crash.content.customer.value(),
            crash.content.digest,
            crash.server.value(),
            static_cast<std::uint64_t>(crash.sentAge.count()),
            static_cast<std::uint64_t>(crash.age.count()),
            crash.isSilence};
}

Routing::CrashReport readCrash(ArrayReader &reader)
{
    Routing::CrashReport crash;
    crash.content.customer = Base::CustomerId(reader.text());
    crash.content.digest = reader.number();
    crash.server = Base::ServerId(reader.text());
    crash.sentAge = readMilliseconds(reader);
    crash.age = readMilliseconds(reader);
    crash.isSilence = reader.flag();
    return crash;
}

Json partJson(const Routing::PartReport &part)
{
    return {part.part,
            static_cast<std::uint64_t>(part.kind),
            part.server.value(),
            static_cast<std::uint64_t>(part.sentAge.count()),
            static_cast<std::uint64_t>(part.age.count()),
            part.isSilence,
            part.content};
}

Routing::PartReport readPart(ArrayReader &reader)
{
    Routing::PartReport part;
    part.part = reader.number();
    part.kind = static_cast<Routing::PartReport::Kind>(reader.number(largestPartKind));
    part.server = Base::ServerId(reader.text());
    part.sentAge = readMilliseconds(reader);
    part.age = readMilliseconds(reader);
    part.isSilence = reader.flag();
    part.content = reader.number();
    return part;
}

Json streamsJson(const Routing::StreamReport &report)
{
    Json streams = Json::array();
    for (const Routing::StreamId stream : report.streams)
        streams.push_back(stream);
    return {report.origin.service, report.origin.softwareVersion, std::move(streams)};
}

Routing::StreamReport readStreams(ArrayReader &reader)
{
    Routing::StreamReport report;
    report.origin.service = reader.text();
    report.origin.softwareVersion = reader.text();
    report.streams = reader.numbers();
    return report;
}

constexpr std::uint64_t largestPhase =
    static_cast<std::uint64_t>(Routing::RolloutPhase::RolledBack);

Json rolloutJson(const RolloutReport &report)
{
    const Routing::RolloutState &state = report.state;
    Json versions = Json::array();
    for (const std::string &it : state.oldVersions)
        versions.push_back(Json::array({it}));
    Json json = {Json::array({orderJson(state.order)}),
                 static_cast<std::uint64_t>(state.phase),
                 std::move(versions),
                 static_cast<std::uint64_t>(state.orderedAt.count()),
                 static_cast<std::uint64_t>(state.phaseBeganAt.count()),
                 state.revision};
    pushAge(json, report.confirmedAge);
    return json;
}

RolloutReport readRollout(ArrayReader &reader)
{
    RolloutReport report;
    Routing::RolloutState &state = report.state;
    reader.forEach([&](ArrayReader &it) { state.order = readOrder(it); });
    // An unknown phase is read as the one in which the new version gets nothing.
    state.phase = static_cast<Routing::RolloutPhase>(std::min(reader.number(), largestPhase));
    reader.forEach([&](ArrayReader &it) { state.oldVersions.push_back(it.text()); });
    state.orderedAt = readStoreTime(reader);
    state.phaseBeganAt = readStoreTime(reader);
    state.revision = reader.number();
    report.confirmedAge = readAge(reader);
    return report;
}

Json histogramJson(const Routing::LogHistogram &histogram)
{
    Json json = Json::array();
    for (std::size_t i = 0; i < Routing::LogHistogram::bucketCount; ++i) {
        if (histogram.count(i) > 0)
            json.push_back({i, histogram.count(i)});
    }
    return json;
}

void readHistogram(ArrayReader &reader, Routing::LogHistogram &histogram)
{
    reader.forEach([&](ArrayReader &it) {
        const std::uint64_t bucket = it.number();
        const auto count = it.number32();
        if (bucket < Routing::LogHistogram::bucketCount)
            histogram.add(static_cast<std::size_t>(bucket), count);
    });
}

void pushCounts(Json &to, const Routing::AnswerCounts &counts)
{
    to.push_back(counts.answers);
    to.push_back(counts.failures);
    to.push_back(histogramJson(counts.starts));
    to.push_back(histogramJson(counts.events));
}

Routing::AnswerCounts readCounts(ArrayReader &reader)
{
    Routing::AnswerCounts counts;
    counts.answers = reader.number32();
    counts.failures = reader.number32();
    readHistogram(reader, counts.starts);
    readHistogram(reader, counts.events);
    return counts;
}

Json evidenceJson(const Routing::RolloutEvidence &evidence)
{
    Json routes = Json::array();
    for (const auto &[route, counts] : evidence.routes) {
        Json json = Json::array({route});
        pushCounts(json, counts.before);
        pushCounts(json, counts.after);
        routes.push_back(std::move(json));
    }
    return {evidence.service, evidence.orderRevision, evidence.requests,
            evidence.exposed, evidence.runningBefore, std::move(routes)};
}

Routing::RolloutEvidence readEvidence(ArrayReader &reader)
{
    Routing::RolloutEvidence evidence;
    evidence.service = reader.text();
    evidence.orderRevision = reader.number();
    evidence.requests = reader.number();
    evidence.exposed = reader.number();
    evidence.runningBefore = reader.number();
    reader.forEach([&](ArrayReader &it) {
        const std::string route = it.text();
        Routing::RolloutEvidence::ByVersion &counts = evidence.routes[route];
        counts.before = readCounts(it);
        counts.after = readCounts(it);
    });
    return evidence;
}

} // namespace

std::string encodeReport(const HostReport &report)
{
    Json echoes = Json::array();
    for (const auto &[host, sequence] : report.echoes)
        echoes.push_back({host.value(), sequence});
    Json members = Json::array();
    for (const MemberState &member : report.members)
        members.push_back(memberJson(member));
    Json crashes = Json::array();
    for (const Routing::CrashReport &crash : report.crashes)
        crashes.push_back(crashJson(crash));
    Json parts = Json::array();
    for (const Routing::PartReport &it : report.parts)
        parts.push_back(partJson(it));
    Json streams = Json::array();
    for (const Routing::StreamReport &it : report.streams)
        streams.push_back(streamsJson(it));
    Json rollouts = Json::array();
    for (const RolloutReport &it : report.rollouts)
        rollouts.push_back(rolloutJson(it));
    Json evidence = Json::array();
    for (const Routing::RolloutEvidence &it : report.rolloutEvidence)
        evidence.push_back(evidenceJson(it));
    const Json json = {formatVersion,
                       report.incarnation,
                       report.sequence,
                       static_cast<std::uint64_t>(report.scope),
                       Json::array({memberJson(report.self)}),
                       Json::array({storeJson(report.store)}),
                       std::move(echoes),
                       std::move(members),
                       Json::array({loadJson(report.load)}),
                       std::move(crashes),
                       std::move(parts),
                       std::move(streams),
                       std::move(rollouts),
                       std::move(evidence),
                       report.liveHosts,
                       report.possibleHosts};
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Base::Result<HostReport> decodeReport(std::string_view bytes)
{
    const Json json = Untrusted::readCbor(bytes);
    ArrayReader reader(json);
    HostReport report;
    const bool hasKnownFormat = reader.number() == formatVersion;
    report.incarnation = reader.number();
    report.sequence = reader.number();
    const std::uint64_t scope = reader.number();
    reader.forEach([&](ArrayReader &it) { report.self = readMember(it); });
    reader.forEach([&](ArrayReader &it) { report.store = readStore(it); });
    reader.forEach([&](ArrayReader &it) {
        const Base::HostId host(it.text());
        report.echoes[host] = it.number();
    });
    reader.forEach([&](ArrayReader &it) { report.members.push_back(readMember(it)); });
    reader.forEach([&](ArrayReader &it) { report.load = readLoad(it); });
    reader.forEach([&](ArrayReader &it) { report.crashes.push_back(readCrash(it)); });
    reader.forEach([&](ArrayReader &it) { report.parts.push_back(readPart(it)); });
    reader.forEach([&](ArrayReader &it) {
        Routing::StreamReport streams = readStreams(it);
        if (isSound(streams.origin))
            report.streams.push_back(std::move(streams));
    });
    reader.forEach([&](ArrayReader &it) {
        RolloutReport rollout = readRollout(it);
        const Routing::RolloutOrder &order = rollout.state.order;
        if (isSound({order.service, order.version}))
            report.rollouts.push_back(std::move(rollout));
    });
    reader.forEach([&](ArrayReader &it) { report.rolloutEvidence.push_back(readEvidence(it)); });
    report.liveHosts = reader.number32();
    report.possibleHosts = reader.number32();
    if (!hasKnownFormat || !reader.isGood() || scope > largestScope || report.self.host.isEmpty())
        return boost::leaf::new_error(MalformedReport());
    report.scope = static_cast<ReportScope>(scope);
    return report;
}

} // namespace Gateway
