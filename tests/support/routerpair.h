#pragma once

#include "base/random.h"
#include "node/node.h"
#include "settings/changecodec.h"
#include "support/fakes.h"

#include <memory>
#include <vector>

/// Two routers of one fleet in one process. Everything outside them is a fake.
namespace RouterPair {

/// Digest of the key of the customer "dealer".
inline const std::string digest = "d1";

/// Two routers, r1 and r2, and one model server, s1. Messages between the routers and answers of
/// the table are delivered without delay.
class Pair
{
public:
    Pair()
    {
        const Settings::ConfigurationChange target{
            1, Settings::ClassTarget{Base::ClassId("tags"), std::chrono::milliseconds(1000),
                                     std::nullopt}};
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
        run(std::chrono::seconds(2));
    }

    /// Runs both routers for \a length of simulated time, in steps of 10 ms.
    void run(Base::Duration length)
    {
        const Base::TimePoint end = m_now + length;
        while (m_now < end) {
            m_now += std::chrono::milliseconds(10);
            for (auto &router : m_routers)
                router->node->advance(m_now);
            settle();
        }
    }

    /// Delivers messages and answers until none is left.
    void settle()
    {
        bool isBusy = true;
        while (isBusy) {
            isBusy = false;
            for (auto &router : m_routers)
                isBusy = deliver(*router) || isBusy;
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
    /// While \a isHeld, messages between the routers are queued and not delivered.
    void holdMessages(bool isHeld) { m_isHeld = isHeld; }
    /// Advances the time by \a length without running the routers, as if both processes were
    /// suspended.
    void suspend(Base::Duration length) { m_now += length; }
    Base::TimePoint now() const { return m_now; }

private:
    /// Delivers the messages and answers that wait at \a from; returns whether there were any.
    bool deliver(Router &from)
    {
        bool isBusy = false;
        while (!m_isHeld && !from.peers.sent.empty()) {
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
    bool m_isHeld = false;
    Base::TimePoint m_now{std::chrono::seconds(1)};
};

/// A streamed request of the customer "dealer" to the model "m", in the class "tags".
inline Node::CallerRequest chatRequest(Node::CallerId caller)
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

} // namespace RouterPair
