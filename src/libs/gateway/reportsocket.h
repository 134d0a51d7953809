#pragma once

#include "base/result.h"
#include "gateway/datagramassembler.h"
#include "gateway/hostreport.h"
#include "settings/address.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/// Sends and receives host reports as UDP datagrams; large ones in several parts.
class ReportSocket
{
public:
    using Received = std::function<void(const HostReport &)>;

    /// Binds to \a address and calls \a received for each report. Datagrams that are no reports are
    /// counted and ignored. Fails with CannotListen.
    static Base::Result<std::unique_ptr<ReportSocket>>
    create(boost::asio::io_context &io, const Settings::Address &address, Received received);

    /// Sends \a report to each address of \a receivers, without delivery guarantee. Returns the
    /// bytes sent to all of them.
    std::size_t send(const HostReport &report, const std::vector<std::string> &receivers);
    /// Number of received datagrams that are no reports.
    std::uint64_t malformed() const { return m_malformed; }

private:
    ReportSocket(boost::asio::io_context &io, Received received);
    void receive();
    void take(std::string_view datagram);

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_from;
    Received m_received;
    DatagramAssembler m_assembler;
    /// The number of the last report that was sent, which makes the ids of parts differ.
    std::uint64_t m_lastSent = 0;
    std::array<char, 65536> m_buffer{};
    std::uint64_t m_malformed = 0;
};

} // namespace Gateway
