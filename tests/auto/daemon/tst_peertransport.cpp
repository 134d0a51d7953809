#include "scriptedserver.h"

#include "daemon/grpcpeerserver.h"
#include "daemon/grpcpeertransport.h"

#include <catch2/catch.hpp>

namespace {

using namespace Daemon;

constexpr auto eventTimeout = std::chrono::seconds(20);

Node::PeerMessage cancelOf(std::uint64_t serial)
{
    Node::PermitCancel it;
    it.attempt = {{Base::HostId("r1"), 5, serial}, 1};
    it.pool = Base::PoolId("model/a");
    return it;
}

std::unique_ptr<GrpcPeerTransport> transport(EventRing &ring)
{
    auto created = GrpcPeerTransport::create(Base::HostId("r1"), 5, ring);
    REQUIRE(created);
    return std::move(*created);
}

std::unique_ptr<GrpcPeerServer> server(EventRing &ring)
{
    auto created = GrpcPeerServer::create(Base::HostId("r2"), "127.0.0.1:0", ring);
    REQUIRE(created);
    return std::move(*created);
}

} // namespace

TEST_CASE("Messages arrive in order, and their bytes are counted")
{
    EventRing sent(16);
    EventRing arrived(16);
    const auto listening = server(arrived);
    const auto peers = transport(sent);
    const std::string address = "127.0.0.1:" + std::to_string(listening->port());
    constexpr std::uint64_t messages = 2000;
    for (std::uint64_t i = 0; i < messages; ++i)
        peers->send(Base::HostId("r2"), address, cancelOf(i));
    for (std::uint64_t i = 0; i < messages; ++i) {
        const auto event = arrived.popFor(eventTimeout);
        REQUIRE(event);
        const auto &message = std::get<Node::PeerMessageArrived>(*event);
        REQUIRE(message.from == Base::HostId("r1"));
        REQUIRE(message.incarnation == 5);
        REQUIRE(message.message == cancelOf(i));
    }
    const auto permits = static_cast<std::size_t>(Coordination::TrafficKind::Permits);
    CHECK(peers->totals()[permits] > messages * 10);
    CHECK(sent.size() == 0);
}

TEST_CASE("An unreachable peer is reported, and reached again when it is back")
{
    EventRing sent(64);
    EventRing arrived(64);
    const auto peers = transport(sent);
    const std::string address = unusedAddress();
    peers->send(Base::HostId("r2"), address, cancelOf(1));
    const auto event = sent.popFor(eventTimeout);
    REQUIRE(event);
    CHECK(std::get<Node::PeerUnreachable>(*event).host == Base::HostId("r2"));

    auto created = GrpcPeerServer::create(Base::HostId("r2"), address, arrived);
    REQUIRE(created);
    // Each failed call is reported; after some of them the library has reconnected.
    std::uint64_t serial = 1;
    while (arrived.size() == 0) {
        peers->send(Base::HostId("r2"), address, cancelOf(++serial));
        sent.popFor(std::chrono::milliseconds(50));
    }
    CHECK(std::holds_alternative<Node::PeerMessageArrived>(*arrived.popFor(eventTimeout)));
}

// Guards against a router that stops serving because another one hangs. A peer is unresponsive
// while messages for it keep coming; they must neither fill the memory nor make the core wait.
TEST_CASE("An unresponsive peer blocks no other thread, and its calls time out")
{
    const ScriptedServer unresponsive([](ScriptedConnection &it) { it.waitForClose(); });
    EventRing sent(64);
    const auto peers = transport(sent);
    for (std::uint64_t i = 0; i < 20000; ++i)
        peers->send(Base::HostId("r2"), unresponsive.address(), cancelOf(i));
    const auto event = sent.popFor(eventTimeout);
    REQUIRE(event);
    CHECK(std::holds_alternative<Node::PeerUnreachable>(*event));
}
