// Sends one request through two node cores in one process, under a clock that this program
// advances. docs/EMBEDDING.md explains each step.

#include "base/random.h"
#include "node/node.h"
#include "settings/changecodec.h"

#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;

/// Implements every interface through which a node reaches the outside. It prints the answers to
/// callers, and keeps messages, backend requests and outcomes of the table for settle() and main().
class Outside final : public Node::CallerSink,
                      public Node::PeerTransport,
                      public Node::BackendClient,
                      public Storage::TableService,
                      public Storage::ObjectStore,
                      public Node::NodeObserver,
                      public Node::WallClock
{
public:
    void startAnswer(Node::CallerId, const Node::AnswerHead &head) override
    {
        std::printf("answer %s: status %d\n", head.requestId.c_str(), head.status);
    }
    void appendAnswer(Node::CallerId, const Node::AnswerPart &part) override
    {
        std::printf("part: %s\n", part.payload.c_str());
    }
    void finishAnswer(Node::CallerId) override { std::printf("whole\n"); }
    void fail(Node::CallerId, const Node::Failure &failure) override
    {
        std::printf("failed: %s\n", failure.message.c_str());
    }
    void sendEntryHosts(Node::CallerId, const Node::EntryHostList &) override {}
    void sendTargets(Node::CallerId, const Node::TargetList &) override {}
    void sendStatus(Node::CallerId, const Node::NodeStatus &) override {}

    void send(const Base::HostId &to, const std::string &,
              const Node::PeerMessage &message) override
    {
        messages.emplace_back(to, message);
    }

    void send(const Node::BackendRequest &request) override { requests.push_back(request); }
    void cancel(const Node::AttemptId &) override {}
    void pause(const Node::AttemptId &) override {}
    void resume(const Node::AttemptId &) override {}
    void pollLoad(const Base::ServerId &, const std::string &) override {}

    void read(Storage::OperationId operation, const std::string &key) override
    {
        const std::map<std::string, Storage::TableRow>::const_iterator it = rows.find(key);
        Storage::TableOutcome outcome{operation, Storage::TableStatus::Done, {}};
        if (it != rows.end())
            outcome.rows.push_back(it->second);
        outcomes.push_back(outcome);
    }
    void scan(Storage::OperationId operation, const std::string &prefix, const std::string &after,
              std::size_t) override
    {
        Storage::TableOutcome outcome{operation, Storage::TableStatus::Done, {}};
        for (const auto &[key, row] : rows) {
            if (key.rfind(prefix, 0) == 0 && key > after)
                outcome.rows.push_back(row);
        }
        outcomes.push_back(outcome);
    }
    void transact(Storage::OperationId operation, const std::vector<Storage::TableWrite> &) override
    {
        outcomes.push_back({operation, Storage::TableStatus::NotDone, {}});
    }
    void put(Storage::OperationId, const std::string &, const std::string &) override {}
    void get(Storage::OperationId, const std::string &) override {}

    void hopFinished(const Node::HopRecord &) override {}
    void requestFinished(const Node::RequestRecord &) override {}
    void retried(const Base::RequestKey &) override {}
    Base::WallTime now() const override { return {}; }

    std::vector<std::pair<Base::HostId, Node::PeerMessage>> messages;
    std::vector<Node::BackendRequest> requests;
    std::vector<Storage::TableOutcome> outcomes;
    std::map<std::string, Storage::TableRow> rows;
};

/// One node and what it needs.
struct Router
{
    Base::HostId host;
    Outside outside;
    Base::SeededRandom random{1};
    std::unique_ptr<Node::Node> node;
};

/// Returns the table's rows of a configuration with one start target and one customer.
std::map<std::string, Storage::TableRow> configurationRows()
{
    std::map<std::string, Storage::TableRow> rows;
    const auto add = [&](const std::string &key, const std::string &value) {
        rows[key] = {key, value, rows.size() + 1};
    };
    add(Settings::headKey, "2");
    add(Settings::changeKey(1),
        Settings::encodeChange({1, Settings::ClassTarget{Base::ClassId("tags"), 800ms, {}}}));
    add(Settings::changeKey(2),
        Settings::encodeChange({2, Settings::Customer{Base::CustomerId("dealer"), "digest"}}));
    return rows;
}

/// Returns the platform's list of hosts: two routers and one model server.
Storage::HostListing listing()
{
    Storage::HostListing hosts;
    hosts.version = 1;
    for (const char *name : {"r1", "r2"}) {
        Storage::ListedHost router;
        router.name = name;
        router.address = name;
        router.incarnation = 1;
        hosts.hosts.push_back(router);
    }
    Storage::ListedHost server;
    server.name = "m1";
    server.role = Storage::HostRole::ModelServer;
    server.pools = {Base::PoolId("model/writer")};
    server.incarnation = 1;
    hosts.hosts.push_back(server);
    return hosts;
}

/// Delivers the messages between the nodes and the outcomes of the table until there are none left.
void settle(std::vector<std::unique_ptr<Router>> &routers, Base::TimePoint now)
{
    for (bool isBusy = true; isBusy;) {
        isBusy = false;
        for (std::unique_ptr<Router> &from : routers) {
            for (const auto &[to, message] : std::exchange(from->outside.messages, {})) {
                for (std::unique_ptr<Router> &router : routers) {
                    if (router->host == to)
                        router->node->handle(Node::PeerMessageArrived{from->host, 1, message}, now);
                }
                isBusy = true;
            }
            for (const Storage::TableOutcome &outcome : std::exchange(from->outside.outcomes, {})) {
                from->node->handle(outcome, now);
                isBusy = true;
            }
        }
    }
}

} // namespace

int main()
{
    Base::TimePoint now{std::chrono::hours(1)};
    std::vector<std::unique_ptr<Router>> routers;
    for (const char *name : {"r1", "r2"}) {
        auto router = std::make_unique<Router>();
        router->host = Base::HostId(name);
        router->outside.rows = configurationRows();
        Node::NodeSettings settings;
        settings.self = {router->host, 1, Base::ZoneId("z"), name, name};
        Outside &outside = router->outside;
        auto node = Node::Node::create(settings, {outside, outside, outside, outside, outside,
                                                  outside, router->random, outside});
        if (!node)
            return 1;
        router->node = std::move(*node);
        router->node->handle(Node::HostListArrived{listing()}, now);
        routers.push_back(std::move(router));
    }
    for (int i = 0; i < 300; ++i) {
        now += 10ms;
        for (std::unique_ptr<Router> &router : routers)
            router->node->advance(now);
        settle(routers, now);
    }

    Node::CallerRequest request;
    request.caller = 1;
    request.target = "writer";
    request.keyDigest = "digest";
    request.workClass = Base::ClassId("tags");
    request.isStreaming = true;
    Router &entry = *routers.front();
    entry.node->handle(request, now);
    settle(routers, now);
    if (entry.outside.requests.empty())
        return 1;

    // The backend server sends an answer of one part.
    const Node::AttemptId attempt = entry.outside.requests.front().attempt;
    entry.node->handle(Node::BackendHead{attempt, 200, "text/event-stream", {}}, now);
    entry.node->handle(Node::BackendPart{attempt, 0, "a red car", 12}, now);
    entry.node->handle(Node::BackendFinished{attempt, 1}, now);
    settle(routers, now);
    return entry.node->status().openRequests == 0 ? 0 : 1;
}
