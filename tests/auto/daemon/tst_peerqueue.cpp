#include "daemon/peerqueue.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace {

using namespace Daemon;

Coordination::Heartbeat heartbeat(std::uint64_t sequence)
{
    Coordination::Heartbeat it;
    it.sequence = sequence;
    return it;
}

Node::PeerMessage permitCancel(std::uint64_t serial)
{
    Node::PermitCancel it;
    it.attempt.request.serial = serial;
    return it;
}

} // namespace

TEST_CASE("A full queue drops old heartbeats before other messages")
{
    PeerQueue queue(3);
    queue.push(heartbeat(1));
    queue.push(permitCancel(1));
    queue.push(heartbeat(2));
    queue.push(permitCancel(2));
    queue.push(permitCancel(3));
    CHECK(queue.dropped() == 2);
    CHECK(queue.take(9)
          == std::vector<Node::PeerMessage>{permitCancel(1), permitCancel(2), permitCancel(3)});
}

TEST_CASE("The queue stays bounded and in order")
{
    rc::prop("any messages", [] {
        const auto capacity = *rc::gen::inRange<std::size_t>(1, 8);
        PeerQueue queue(capacity);
        const auto n = *rc::gen::inRange<std::uint64_t>(0, 30);
        for (std::uint64_t i = 1; i <= n; ++i)
            queue.push(*rc::gen::arbitrary<bool>() ? Node::PeerMessage(heartbeat(i))
                                                   : permitCancel(i));
        RC_ASSERT(queue.size() <= capacity);
        RC_ASSERT(queue.size() + queue.dropped() == n);
        std::uint64_t last = 0;
        for (const Node::PeerMessage &message : queue.take(capacity)) {
            const auto *asHeartbeat = std::get_if<Coordination::Heartbeat>(&message);
            const std::uint64_t number =
                asHeartbeat ? asHeartbeat->sequence
                            : std::get<Node::PermitCancel>(message).attempt.request.serial;
            RC_ASSERT(number > last);
            last = number;
        }
    });
}
