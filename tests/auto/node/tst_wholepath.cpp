#include "base/random.h"
#include "node/node.h"
#include "settings/changecodec.h"
#include "support/fakes.h"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;

const std::string digest = "d1";

/// Two routers, one model server; messages and table answers pass at once.
class Pair
{
public:
    Pair()
    {
        const Settings::ConfigurationChange target{
            1, Settings::ClassTarget{Base::ClassId("tags"), 1000ms, std::nullopt}};
        const Settings::ConfigurationChange customer{
            2, Settings::Customer{Base::CustomerId("dealer"), digest}};
        m_table.transact(0, {{Settings::headKey, "2", std::nullopt},
                             {Settings::changeKey(1), Settings::encodeChange(target), 0},
                             {Settings::changeKey(2), Settings::encodeChange(customer), 0}});
        for (const char *name : {"r1", "r2"})
            m_routers.push_back(std::make_unique<Router>(name, m_table));
        Storage::HostListing listing;
        listing.version = 1;
        for (const char *name : {"r1", "r2"})
            listing.hosts.push_back({name,
                                     Storage::HostRole::Router,
                                     Storage::HostState::Live,
                                     Base::ZoneId("z"),
                                     name,
                                     name,
                                     {},
                                     false,
                                     1});
        listing.hosts.push_back({"s1",
                                 Storage::HostRole::ModelServer,
                                 Storage::HostState::Live,
                                 Base::ZoneId("z"),
                                 "s1",
                                 "",
                                 {Base::PoolId("model/m")},
                                 true,
                                 1});
        for (auto &router : m_routers)
            router->node->handle(Node::HostListArrived{listing}, m_now);
        run(2s);
    }

    void run(Base::Duration length)
    {
        const Base::TimePoint end = m_now + length;
        while (m_now < end) {
            m_now += 10ms;
            for (auto &router : m_routers)
                router->node->advance(m_now);
            settle();
        }
    }

    void settle()
    {
        bool isBusy = true;
        while (isBusy) {
            isBusy = false;
            for (auto &router : m_routers)
                isBusy = pass(*router) || isBusy;
        }
    }

    struct Router
    {
        Router(const char *name, Fakes::Table &table)
            : connection(table)
            , random(1)
        {
            Node::NodeSettings settings;
            settings.self = {Base::HostId(name), 1, Base::ZoneId("z"), name, name};
            node = *Node::Node::create(
                settings, {callers, peers, backends, connection, objects, observer, random, wall});
        }
        Fakes::Callers callers;
        Fakes::Peers peers;
        Fakes::Backends backends;
        Fakes::TableConnection connection;
        Fakes::Objects objects;
        Fakes::Observer observer;
        Fakes::FixedWallClock wall;
        Base::SeededRandom random;
        std::unique_ptr<Node::Node> node;
    };

    Router &router(std::size_t i) { return *m_routers[i]; }
    Base::TimePoint now() const { return m_now; }

private:
    bool pass(Router &from)
    {
        bool isBusy = false;
        while (!from.peers.sent.empty()) {
            const Fakes::SentMessage sent = from.peers.sent.front();
            from.peers.sent.pop_front();
            Router &to = sent.to == Base::HostId("r1") ? router(0) : router(1);
            to.node->handle(
                Node::PeerMessageArrived{from.node->membership().self().host, 1, sent.message},
                m_now);
            isBusy = true;
        }
        while (!from.connection.answers.empty()) {
            const Storage::TableOutcome outcome = from.connection.answers.front();
            from.connection.answers.pop_front();
            from.node->handle(outcome, m_now);
            isBusy = true;
        }
        return isBusy;
    }

    Fakes::Table m_table;
    std::vector<std::unique_ptr<Router>> m_routers;
    Base::TimePoint m_now{1s};
};

Node::CallerRequest chatRequest(Node::CallerId caller)
{
    Node::CallerRequest request;
    request.caller = caller;
    request.target = "m";
    request.isStreaming = true;
    request.keyDigest = digest;
    request.workClass = Base::ClassId("tags");
    request.body = "{}";
    return request;
}

} // namespace

TEST_CASE("a request is answered whole through either router, home or not", "[node]")
{
    for (const std::size_t entry : {0, 1}) {
        Pair pair;
        Pair::Router &router = pair.router(entry);
        router.node->handle(chatRequest(7), pair.now());
        pair.settle();
        REQUIRE(router.backends.sent.size() == 1);
        const Node::AttemptId attempt = router.backends.sent.front().attempt;
        router.node->handle(Node::BackendHead{attempt, 200, "text/event-stream", "st"}, pair.now());
        router.node->handle(Node::BackendPart{attempt, 0, "a", 4}, pair.now());
        router.node->handle(Node::BackendPart{attempt, 0, "late", 4}, pair.now());
        router.node->handle(Node::BackendPart{attempt, 1, "b", 4}, pair.now());
        router.node->handle(Node::BackendFinished{attempt, 2}, pair.now());
        pair.settle();
        const Fakes::CallerLog &log = router.callers.logs[7];
        CHECK(log.parts == std::vector<std::string>{"a", "b"});
        CHECK(log.isFinished);
        CHECK_FALSE(log.failure);
        CHECK(router.node->status().openRequests == 0);
    }
}

TEST_CASE("a request with an unknown key or class is refused at once", "[node]")
{
    Pair pair;
    Pair::Router &router = pair.router(0);
    Node::CallerRequest request = chatRequest(1);
    request.keyDigest = "other";
    router.node->handle(request, pair.now());
    REQUIRE(router.callers.logs[1].failure);
    CHECK(router.callers.logs[1].failure->type == Node::FailureType::Unauthorized);
    request = chatRequest(2);
    request.workClass = Base::ClassId("none");
    router.node->handle(request, pair.now());
    REQUIRE(router.callers.logs[2].failure);
    CHECK(router.callers.logs[2].failure->type == Node::FailureType::UnknownClass);
}

// A buyer's deposit is refused by the server, who says that it did not run; the buyer is told so
// and asks again, and hears for a day that it may have run. The cause: the claim was left
// standing because the work had been sent, though it is known that it did not run.
TEST_CASE("a key whose work certainly did not run is free again", "[node]")
{
    Pair pair;
    Pair::Router &router = pair.router(0);
    Node::CallerRequest request = chatRequest(1);
    request.isRepeatable = false;
    request.idempotencyKey = "deposit";
    router.node->handle(request, pair.now());
    pair.settle();
    while (!router.backends.sent.empty()) {
        const Node::AttemptId attempt = router.backends.sent.front().attempt;
        router.backends.sent.pop_front();
        router.node->handle(Node::BackendFailed{attempt, Node::SendState::Refused, 0, std::nullopt},
                            pair.now());
        pair.settle();
        pair.run(2s);
    }
    REQUIRE(router.callers.logs[1].failure);
    CHECK(router.callers.logs[1].failure->ran == Node::Ran::No);
    request.caller = 2;
    pair.router(1).node->handle(request, pair.now());
    pair.settle();
    pair.run(2s);
    CHECK(pair.router(1).backends.sent.size() == 1);
}
