#include "gateway/httplistener.h"

#include "gateway/boottime.h"

#include <boost/asio/ip/address_v4.hpp>

#include <utility>

namespace Gateway {

namespace {

/// Connections that wait to be accepted. A full queue costs a caller its opening packet, which
/// comes again only after a second; at a cold start of the whole fleet hundreds come at once.
constexpr int acceptQueue = 1024;

} // namespace

Base::Result<std::unique_ptr<HttpListener>> HttpListener::create(boost::asio::io_context &io,
                                                                 const Settings::Address &address,
                                                                 const ConnectionContext &context)
{
    std::unique_ptr<HttpListener> listener(new HttpListener(io, context));
    boost::system::error_code ec;
    const Tcp::endpoint endpoint(boost::asio::ip::make_address_v4(address.ip, ec), address.port);
    Tcp::acceptor &acceptor = listener->m_acceptor;
    if (!ec)
        acceptor.open(Tcp::v4(), ec);
    if (!ec)
        acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(acceptQueue, ec);
    if (ec)
        return boost::leaf::new_error(CannotListen{toString(address)});
    listener->accept();
    return listener;
}

HttpListener::HttpListener(boost::asio::io_context &io, const ConnectionContext &context)
    : m_io(&io)
    , m_acceptor(io)
    , m_context(context)
{}

void HttpListener::accept()
{
    m_acceptor.async_accept(*m_io, [this](const boost::system::error_code &ec, Tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted)
            return;
        if (!ec) {
            auto connection = std::make_shared<CallerConnection>(std::move(socket), m_context);
            m_connections.push_back(connection);
            connection->start(bootTimeNow());
        }
        accept();
    });
}

void HttpListener::checkTime(Base::TimePoint now)
{
    for (const auto &connection : m_connections)
        connection->checkTime(now);
    std::erase_if(m_connections, [](const auto &it) { return !it->isOpen() && !it->isBusy(); });
}

void HttpListener::closeIdle()
{
    for (const auto &connection : m_connections)
        connection->closeIfIdle();
}

} // namespace Gateway
