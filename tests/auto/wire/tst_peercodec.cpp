#include "arbitrarymessages.h"

#include "wire/peercodec.h"

#include "peer.pb.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace {

using namespace Wire;
namespace Proto = lagoonmast::wire;

std::string serialized(const BatchEndpoints &endpoints,
                       const std::vector<Node::PeerMessage> &messages)
{
    Proto::Batch batch;
    startBatch(batch, endpoints);
    for (const Node::PeerMessage &message : messages)
        appendMessage(batch, endpoints, message);
    return batch.SerializeAsString();
}

/// The result of decoding: a batch or a typed fault. Any other error leaves both empty, which fails
/// the test.
struct Decoded
{
    std::optional<PeerBatch> batch;
    std::optional<BatchFault> fault;
};

Decoded decode(const std::string &bytes, const std::string &receiver)
{
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<Decoded> {
            BOOST_LEAF_AUTO(batch, decodeBatch(bytes, Base::HostId(receiver)));
            return Decoded{batch, std::nullopt};
        },
        [](const MalformedBatch &it) {
            return Decoded{std::nullopt, it.fault};
        },
        [] { return Decoded{}; });
}

Node::AttemptId attemptOf(const std::string &entry, Base::Incarnation incarnation)
{
    return {{Base::HostId(entry), incarnation, 7}, 1};
}

} // namespace

TEST_CASE("Decoding restores the encoded messages")
{
    rc::prop("arbitrary messages of one batch", [] {
        const BatchEndpoints endpoints{Arbitrary::host(), Arbitrary::incarnation(),
                                       Arbitrary::host()};
        std::vector<Node::PeerMessage> messages;
        const int n = *rc::gen::inRange(0, 6);
        for (int i = 0; i < n; ++i)
            messages.push_back(Arbitrary::message(endpoints.sender, endpoints.senderIncarnation));
        const Decoded decoded = decode(serialized(endpoints, messages), endpoints.receiver.value());
        RC_ASSERT(decoded.batch.has_value());
        RC_ASSERT(decoded.batch->sender == endpoints.sender);
        RC_ASSERT(decoded.batch->incarnation == endpoints.senderIncarnation);
        RC_ASSERT(decoded.batch->messages == messages);
    });
}

TEST_CASE("Arbitrary bytes decode to a batch or a typed fault")
{
    rc::prop("arbitrary bytes", [](const std::string &bytes) {
        const Decoded decoded = decode(bytes, "r1");
        RC_ASSERT(decoded.batch.has_value() != decoded.fault.has_value());
    });
    rc::prop("a valid batch with damaged bytes", [] {
        const BatchEndpoints endpoints{Arbitrary::host(), 1, Arbitrary::host()};
        std::string bytes = serialized(endpoints, {Arbitrary::message(endpoints.sender, 1),
                                                   Arbitrary::message(endpoints.sender, 1)});
        const int damages = *rc::gen::inRange(1, 4);
        for (int i = 0; i < damages; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = *rc::gen::arbitrary<char>();
        }
        const Decoded decoded = decode(bytes, "r1");
        RC_ASSERT(decoded.batch.has_value() != decoded.fault.has_value());
    });
}

// Guards against a request that gets the permit of another one, and so runs twice. Router r1 asks
// for a permit for request 7 and restarts. Its new incarnation also has a request 7 when the home
// answers the old one. A grant that leaves out the incarnation would match the new request.
TEST_CASE("A grant for an earlier incarnation of the receiver keeps that incarnation")
{
    const BatchEndpoints endpoints{Base::HostId("r2"), 5, Base::HostId("r1")};
    const Node::PermitGrant old{attemptOf("r1", 100), Base::PoolId("model/a"), 0,
                                Base::ServerId("m1")};
    const Node::PermitGrant present{attemptOf("r1", 200), Base::PoolId("model/a"), 0,
                                    Base::ServerId("m2")};
    const Decoded decoded = decode(serialized(endpoints, {old, present}), "r1");
    REQUIRE(decoded.batch);
    CHECK(decoded.batch->messages == std::vector<Node::PeerMessage>{old, present});
}

TEST_CASE("Names of the sender and the receiver are left out")
{
    const BatchEndpoints endpoints{Base::HostId("a-host-with-a-long-name"), 1796243984000000,
                                   Base::HostId("another-host-with-a-long-name")};
    const auto bytesOf = [&](const std::string &entry, Base::Incarnation incarnation) {
        const Node::PermitCancel cancel{attemptOf(entry, incarnation), Base::PoolId("p"), 0};
        return serialized(endpoints, {cancel, cancel}).size();
    };
    // Each of the two attempts saves the name and the incarnation of its host.
    const std::size_t foreign = bytesOf("a-third-host-with-a-long-name", 1796243984000000);
    CHECK(bytesOf(endpoints.sender.value(), endpoints.senderIncarnation) + 70 < foreign);
    CHECK(bytesOf(endpoints.receiver.value(), 1796243984000001) + 60 < foreign);
}

TEST_CASE("Each fault of a batch is reported with its type")
{
    Proto::Batch batch;
    const auto fault = [&batch] { return decode(batch.SerializeAsString(), "r1").fault; };
    CHECK(decode("\x0a", "r1").fault == BatchFault::NotProtobuf);
    CHECK(fault() == BatchFault::MissingSender);
    batch.set_sender("r2");
    Proto::Message &message = *batch.add_messages();
    CHECK(fault() == BatchFault::EmptyMessage);
    message.mutable_permit_grant()->set_server("m1");
    CHECK(fault() == BatchFault::MissingAttempt);
    message.mutable_permit_refusal()->mutable_attempt();
    message.mutable_permit_refusal()->set_reason(99);
    CHECK(fault() == BatchFault::UnknownEnumerator);
    message.mutable_permit_refusal()->set_reason(0);
    message.mutable_permit_refusal()->set_retry_after_ms(1ULL << 60);
    CHECK(fault() == BatchFault::DurationTooLong);
    message.mutable_configuration_push()->add_changes()->set_text("{");
    CHECK(fault() == BatchFault::MalformedChange);
}
