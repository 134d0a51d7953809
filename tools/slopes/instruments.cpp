#include "slopes/instruments.h"

#include "wire/peercodec.h"

#include <malloc.h>

namespace Slopes {

namespace {

const Wire::BatchEndpoints &batchEnds()
{
    static const Wire::BatchEndpoints value{Base::HostId("router-17"), 1764700000000,
                                            Base::HostId("router-4")};
    return value;
}

} // namespace

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::size_t wireSize(const Node::PeerMessage &message)
{
    lagoonmast::wire::Batch batch;
    Wire::startBatch(batch, batchEnds());
    return Wire::appendMessage(batch, batchEnds(), message);
}

std::string encode(const Node::PeerMessage &message)
{
    lagoonmast::wire::Batch batch;
    Wire::startBatch(batch, batchEnds());
    Wire::appendMessage(batch, batchEnds(), message);
    return batch.SerializeAsString();
}

std::size_t decode(const std::string &bytes)
{
    const Base::Result<Wire::PeerBatch> batch = Wire::decodeBatch(bytes, batchEnds().receiver);
    return batch ? batch->messages.size() : 0;
}

std::string sizeLabel(const std::string &name, std::size_t value)
{
    return name + "=" + std::to_string(value);
}

} // namespace Slopes
