#include "gateway/datagramassembler.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

/// The stop code of CBOR, which begins no item.
constexpr char partMark = '\xFF';
constexpr std::size_t idBytes = 8;
constexpr std::size_t headerBytes = 1 + idBytes + 2;
constexpr std::size_t partBytes = DatagramAssembler::maxDatagramBytes - headerBytes;
constexpr Base::Duration partialLifetime = std::chrono::seconds(1);
/// Only leaders send messages of several parts, and there is one for each availability zone. With
/// all of them at the largest size this is 64 MB, and some hundred kilobytes in practice.
constexpr std::size_t maxPartials = 32;

std::uint8_t byteAt(std::string_view bytes, std::size_t at)
{
    return static_cast<std::uint8_t>(bytes[at]);
}

} // namespace

std::vector<std::string> DatagramAssembler::split(std::string_view message, std::uint64_t id)
{
    if (message.size() <= maxDatagramBytes)
        return {std::string(message)};
    if (message.size() > maxMessageBytes)
        return {};
    const std::size_t count = (message.size() + partBytes - 1) / partBytes;
    std::vector<std::string> datagrams;
    for (std::size_t i = 0; i < count; ++i) {
        std::string datagram(1, partMark);
        for (std::size_t shift = 0; shift < idBytes; ++shift)
            datagram += static_cast<char>(id >> (8 * shift));
        datagram += static_cast<char>(i);
        datagram += static_cast<char>(count);
        datagram += message.substr(i * partBytes, partBytes);
        datagrams.push_back(std::move(datagram));
    }
    return datagrams;
}

std::optional<std::string> DatagramAssembler::add(std::string_view datagram,
                                                  const std::string &sender, Base::TimePoint now)
{
    if (datagram.empty() || datagram.front() != partMark)
        return std::string(datagram);
    if (datagram.size() <= headerBytes)
        return std::nullopt;
    std::uint64_t id = 0;
    for (std::size_t i = 0; i < idBytes; ++i)
        id |= static_cast<std::uint64_t>(byteAt(datagram, 1 + i)) << (8 * i);
    const std::size_t index = byteAt(datagram, 1 + idBytes);
    const std::size_t count = byteAt(datagram, 2 + idBytes);
    if (index >= count || count * partBytes > maxMessageBytes + partBytes)
        return std::nullopt;
    Partial *const known = partial(sender, id, count, now);
    if (!known || known->parts.size() != count || !known->parts[index].empty())
        return std::nullopt;
    known->parts[index] = datagram.substr(headerBytes);
    if (--known->missing > 0)
        return std::nullopt;
    std::string message;
    for (const std::string &it : known->parts)
        message += it;
    m_partials.erase(sender);
    return message;
}

DatagramAssembler::Partial *DatagramAssembler::partial(const std::string &sender, std::uint64_t id,
                                                       std::size_t count, Base::TimePoint now)
{
    std::erase_if(m_partials,
                  [&](const auto &it) { return now - it.second.begunAt >= partialLifetime; });
    const auto known = m_partials.find(sender);
    if (known == m_partials.end() && m_partials.size() >= maxPartials)
        return nullptr;
    Partial &entry = m_partials[sender];
    if (known == m_partials.end() || entry.id != id)
        entry = {id, now, std::vector<std::string>(count), count};
    return &entry;
}

} // namespace Gateway
