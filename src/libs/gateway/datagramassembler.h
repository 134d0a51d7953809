#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/// Splits messages that are too large for a datagram, and joins their parts again.
///
/// A message that fits is sent as it is. A part begins with a byte that begins no report, the id of
/// its message, its number and the number of parts. Parts may be lost, repeated or reordered. A
/// message that lacks a part is dropped when its sender's next one begins, or after a second.
class DatagramAssembler
{
public:
    /// Returns the datagrams of \a message; none if it is larger than maxMessageBytes. \a id must
    /// differ from that of the sender's previous message.
    static std::vector<std::string> split(std::string_view message, std::uint64_t id);

    /// Takes a datagram of \a sender. Returns a message that is complete with it.
    std::optional<std::string> add(std::string_view datagram, const std::string &sender,
                                   Base::TimePoint now);

    /// The largest datagram that is sent whole.
    static constexpr std::size_t maxDatagramBytes = 60'000;
    static constexpr std::size_t maxMessageBytes = 2'000'000;

private:
    struct Partial
    {
        std::uint64_t id = 0;
        Base::TimePoint begunAt;
        std::vector<std::string> parts;
        std::size_t missing = 0;
    };

    /// Returns the entry of the message; null if there are too many others.
    Partial *partial(const std::string &sender, std::uint64_t id, std::size_t count,
                     Base::TimePoint now);

    std::map<std::string, Partial> m_partials;
};

} // namespace Gateway
