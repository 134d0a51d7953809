#include "gateway/reportsocket.h"

#include "gateway/boottime.h"
#include "gateway/httplistener.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v4.hpp>

#include <utility>

namespace Gateway {

using boost::asio::ip::udp;

Base::Result<std::unique_ptr<ReportSocket>> ReportSocket::create(boost::asio::io_context &io,
                                                                 const Settings::Address &address,
                                                                 Received received)
{
    std::unique_ptr<ReportSocket> socket(new ReportSocket(io, std::move(received)));
    boost::system::error_code ec;
    const udp::endpoint endpoint(boost::asio::ip::make_address_v4(address.ip, ec), address.port);
    if (!ec)
        socket->m_socket.open(udp::v4(), ec);
    if (!ec)
        socket->m_socket.bind(endpoint, ec);
    if (!ec)
        socket->m_socket.non_blocking(true, ec);
    if (ec)
        return boost::leaf::new_error(CannotListen{toString(address)});
    socket->receive();
    return socket;
}

ReportSocket::ReportSocket(boost::asio::io_context &io, Received received)
    : m_socket(io)
    , m_received(std::move(received))
{}

std::size_t ReportSocket::send(const HostReport &report, const std::vector<std::string> &receivers)
{
    if (receivers.empty())
        return 0;
    const std::vector<std::string> datagrams =
        DatagramAssembler::split(encodeReport(report), ++m_lastSent);
    std::size_t sent = 0;
    for (const std::string &receiver : receivers) {
        const auto address = Settings::parseAddress(receiver);
        if (!address)
            continue;
        boost::system::error_code ec;
        const auto ip = boost::asio::ip::make_address_v4(address->ip, ec);
        if (ec)
            continue;
        // A report that could not be sent is superseded by the next one.
        for (const std::string &it : datagrams)
            sent +=
                m_socket.send_to(boost::asio::buffer(it), udp::endpoint(ip, address->port), 0, ec);
    }
    return sent;
}

void ReportSocket::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_from,
                                [this](const boost::system::error_code &ec, std::size_t n) {
                                    if (ec == boost::asio::error::operation_aborted)
                                        return;
                                    if (!ec)
                                        take({m_buffer.data(), n});
                                    receive();
                                });
}

void ReportSocket::take(std::string_view datagram)
{
    const std::string sender = m_from.address().to_string() + ":" + std::to_string(m_from.port());
    const std::optional<std::string> bytes = m_assembler.add(datagram, sender, bootTimeNow());
    if (!bytes)
        return;
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(report, decodeReport(*bytes));
            m_received(report);
            return {};
        },
        [&] { ++m_malformed; });
}

} // namespace Gateway
