#include "wire/peercodec.h"

#include "wire/messagedecoder.h"
#include "wire/messageencoder.h"

namespace Wire {

namespace Proto = lagoonmast::wire;

void startBatch(Proto::Batch &batch, const BatchEndpoints &endpoints)
{
    batch.Clear();
    batch.set_sender(endpoints.sender.value());
    batch.set_incarnation(endpoints.senderIncarnation);
}

std::size_t appendMessage(Proto::Batch &batch, const BatchEndpoints &endpoints,
                          const Node::PeerMessage &message)
{
    /// Bytes for the tag and the length of a message in its batch. Messages of 16 KiB or more need
    /// more.
    constexpr std::size_t repeatedOverhead = 3;
    Proto::Message &added = *batch.add_messages();
    std::visit(Internal::MessageEncoder(batch, endpoints, added), message);
    return added.ByteSizeLong() + repeatedOverhead;
}

Base::Result<PeerBatch> decodeBatch(const Proto::Batch &batch, const Base::HostId &receiver)
{
    if (batch.sender().empty())
        return boost::leaf::new_error(MalformedBatch{BatchFault::MissingSender});
    PeerBatch decoded;
    decoded.sender = Base::HostId(batch.sender());
    decoded.incarnation = batch.incarnation();
    decoded.messages.reserve(static_cast<std::size_t>(batch.messages_size()));
    const Internal::MessageDecoder decoder(batch, receiver);
    for (const Proto::Message &message : batch.messages()) {
        BOOST_LEAF_AUTO(it, decoder.decode(message));
        decoded.messages.push_back(std::move(it));
    }
    return decoded;
}

Base::Result<PeerBatch> decodeBatch(const std::string &bytes, const Base::HostId &receiver)
{
    Proto::Batch batch;
    if (!batch.ParseFromString(bytes))
        return boost::leaf::new_error(MalformedBatch{BatchFault::NotProtobuf});
    return decodeBatch(batch, receiver);
}

} // namespace Wire
