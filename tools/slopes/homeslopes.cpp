#include "base/random.h"
#include "node/openrequest.h"
#include "node/poolhome.h"
#include "slopes/instruments.h"
#include "slopes/measurements.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Slopes {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t serversPerShard = 24;
constexpr std::size_t waitingPerCustomer = 2;
const Base::PoolId pool("model/general-7b");

/// Keeps the grants of a home and counts its refusals.
class RecordingOutbox final : public Node::Outbox
{
public:
    void post(const Base::HostId & /*to*/, const Node::PeerMessage &message) override
    {
        if (const auto *grant = std::get_if<Node::PermitGrant>(&message))
            grants.push_back(*grant);
        else if (std::holds_alternative<Node::PermitRefusal>(message))
            ++refused;
    }

    std::deque<Node::PermitGrant> grants;
    std::size_t refused = 0;
};

Node::PermitRequest requestOf(std::uint64_t serial, std::size_t customers)
{
    Node::PermitRequest request;
    request.attempt.request = {Base::HostId("router-" + std::to_string(serial % 39)), 1764700000000,
                               serial};
    request.attempt.number = 1;
    request.pool = pool;
    request.customer = Base::CustomerId("customer-" + std::to_string(serial % customers));
    request.workClass = Base::ClassId("replies");
    // The start target is so long that admission refuses nothing: the measurement needs a full
    // queue.
    request.startWithin = 1h;
    request.expectedCost = 1100;
    request.prefix = 0x1234567812345678 + serial % 1000;
    return request;
}

Node::PermitRelease releaseOf(const Node::PermitGrant &grant)
{
    return {
        grant.attempt, grant.pool, grant.shard, grant.server, Scheduling::PermitOutcome::Completed,
        400ms,         3000ms,     1100};
}

/// Reports the cost of giving a permit out again while every customer has requests waiting.
void measureDispatch(const Report &report, std::size_t customers, std::uint64_t seed)
{
    const std::string sizes = sizeLabel("backlogged", customers) + " servers=24";
    Base::SeededRandom random(seed);
    RecordingOutbox outbox;
    auto ledger =
        std::move(*Coordination::ServiceLedger::create({}, Base::HostId("router-17"), 1, pool));
    Node::NodeSettings settings;
    // Without this maximum, the limits of the servers would grow until nothing waits.
    settings.concurrency.maxLimit = settings.concurrency.initialLimit;
    auto home = std::move(*Node::PoolHome::create(settings, pool, 0, ledger, outbox, random));
    std::vector<Node::Server> servers(serversPerShard);
    std::vector<const Node::Server *> pointers;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].id = Base::ServerId("model-server-" + std::to_string(i));
        servers[i].pools = {pool};
        pointers.push_back(&servers[i]);
    }
    home->setServers(pointers);
    Base::TimePoint now{1s};
    std::uint64_t serial = 0;
    const std::size_t before = allocatedBytes();
    // Each server gives 8 permits before any request waits.
    const std::size_t wantedWaiting = customers * waitingPerCustomer;
    while (home->waiting() < wantedWaiting && serial < wantedWaiting + 1000)
        home->request(requestOf(++serial, customers), now);
    const auto memory =
        static_cast<double>(allocatedBytes() - before) / static_cast<double>(home->waiting());
    const double dispatch = medianMicroseconds(2000, [&] {
        now += 1ms;
        const Node::PermitGrant grant = outbox.grants.front();
        outbox.grants.pop_front();
        home->release(releaseOf(grant), now);
        home->request(requestOf(++serial, customers), now);
    });
    report.add({"request, grant and release", sizes, dispatch, "us"});
    report.add(
        {"home advance", sizes, medianMicroseconds(50, [&] { home->advance(now += 50ms); }), "us"});
    report.add({"home memory", sizes, memory, "B/waiting request"});
    report.add({"home waiting", sizes, static_cast<double>(home->waiting()), "requests"});
    report.add({"home refused", sizes, static_cast<double>(outbox.refused), "requests"});
}

/// Reports size, encoding time and decoding time of \a message.
void measurePermitMessage(const Report &report, const std::string &name,
                          const Node::PeerMessage &message)
{
    const std::string bytes = encode(message);
    report.add({name, "bytes", static_cast<double>(wireSize(message)), "B"});
    report.add({name, "encode", medianMicroseconds(2000, [&] { encode(message); }), "us"});
    report.add({name, "decode", medianMicroseconds(2000, [&] { decode(bytes); }), "us"});
}

/// Reports the memory that the entry host takes for one open request, with a body of \a bodyBytes.
void measureOpenRequests(const Report &report, std::size_t bodyBytes)
{
    constexpr std::size_t count = 2000;
    const std::size_t before = allocatedBytes();
    std::map<Base::RequestKey, Node::OpenRequest> openRequests;
    for (std::uint64_t serial = 1; serial <= count; ++serial) {
        Node::OpenRequest request;
        request.key = {Base::HostId("router-17"), 1764700000000, serial};
        request.callerRequest.target = "general-7b";
        request.callerRequest.body = std::string(bodyBytes, 'x');
        request.callerRequest.keyDigest = std::string(64, 'a');
        request.callerRequest.workClass = Base::ClassId("replies");
        request.callerRequest.traceparent = std::string(55, '0');
        request.customer = Base::CustomerId("customer-" + std::to_string(serial));
        request.target = {request.callerRequest.workClass, 1500ms, std::nullopt};
        request.pool = pool;
        request.home = Base::HostId("router-4");
        request.server = Base::ServerId("model-server-" + std::to_string(serial));
        request.permit = request.attemptId();
        openRequests.emplace(request.key, std::move(request));
    }
    const auto memory = static_cast<double>(allocatedBytes() - before);
    report.add({"open request, core", sizeLabel("body", bodyBytes), memory / count, "B"});
}

} // namespace

void measureHome(const Report &report, std::uint64_t seed)
{
    for (const std::size_t customers : {16, 940, 9400})
        measureDispatch(report, customers, seed);
    const Node::PermitRequest request = requestOf(123456789, 9400);
    // The encoding omits an attempt's entry host if that is the sender or the receiver of the
    // batch. Requests and releases go from the entry host to the home, and grants come back.
    Node::PermitRequest sentRequest = request;
    sentRequest.attempt.request.entry = Base::HostId("router-17");
    const Node::PermitGrant grant{{{Base::HostId("router-4"), 1764700000000, 123456789}, 1},
                                  pool,
                                  3,
                                  Base::ServerId("model-server-8123")};
    Node::PermitRelease release = releaseOf(grant);
    release.attempt = sentRequest.attempt;
    measurePermitMessage(report, "permit request", sentRequest);
    measurePermitMessage(report, "permit grant", grant);
    measurePermitMessage(report, "service charge",
                         Node::ServiceCharge{sentRequest.attempt, pool, 3, 500});
    measurePermitMessage(report, "permit release", release);
}

void measureEntry(const Report &report)
{
    for (const std::size_t bytes : {0, 4000})
        measureOpenRequests(report, bytes);
}

} // namespace Slopes
