#include "gateway/httplistener.h"

#include "gateway/boottime.h"

#include <boost/asio/ip/address_v4.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace Gateway {

namespace {

/// Length of the queue of connections to accept. If it is full, a caller's SYN is dropped and
/// retransmitted only after 1 s; at a cold start of the whole fleet hundreds arrive at once.
constexpr int acceptBacklog = 1024;
/// Connections that are accepted in one turn of the event loop. One a turn is too few on an
/// overloaded host: its queue fills with connections of callers that have given up before they are
/// accepted, and no caller is served for as long as the overload lasts.
constexpr int maxAcceptsPerTurn = 128;

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
        acceptor.listen(acceptBacklog, ec);
    if (!ec)
        acceptor.non_blocking(true, ec);
    if (ec)
        return boost::leaf::new_error(CannotListen{toString(address)});
    listener->accept();
    return listener;
}

HttpListener::HttpListener(boost::asio::io_context &io, const ConnectionContext &context)
    : m_io(&io)
    , m_acceptor(io)
    , m_context(context)
{
    m_context.share.add(*this);
}

void HttpListener::accept()
{
    m_acceptor.async_wait(Tcp::acceptor::wait_read, [this](const boost::system::error_code &ec) {
        if (ec == boost::asio::error::operation_aborted)
            return;
        for (int i = 0; i < maxAcceptsPerTurn; ++i) {
            if (!acceptOne())
                break;
        }
        if (!m_isOutOfDescriptors)
            accept();
    });
}

bool HttpListener::acceptOne()
{
    if (m_context.share.isFull()) {
        pollfd pending{m_acceptor.native_handle(), POLLIN, 0};
        if (poll(&pending, 1, 0) <= 0)
            return false;
        m_isOutOfDescriptors = !m_context.share.makeRoom();
        if (m_isOutOfDescriptors)
            return false;
    }
    const int fd =
        accept4(m_acceptor.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        // The connection stays in the queue. Waiting for it would return at once, again and again,
        // and use the whole processor until a file descriptor is free.
        m_isOutOfDescriptors = errno == EMFILE || errno == ENFILE || errno == ENOMEM;
        return false;
    }
    auto connection = std::make_shared<CallerConnection>(*m_io, fd, m_context);
    connection->start(bootTimeNow());
    if (connection->isOpen())
        m_connections.push_back(std::move(connection));
    return true;
}

std::shared_ptr<CallerConnection> HttpListener::longestIdle() const
{
    std::shared_ptr<CallerConnection> longest;
    for (const auto &it : m_connections) {
        if (it->isIdle() && (!longest || it->closesBefore(*longest)))
            longest = it;
    }
    return longest;
}

bool CallerShare::makeRoom()
{
    while (isFull()) {
        std::shared_ptr<CallerConnection> longest;
        for (const HttpListener *it : m_listeners) {
            const std::shared_ptr<CallerConnection> idle = it->longestIdle();
            if (idle && (!longest || idle->closesBefore(*longest)))
                longest = idle;
        }
        if (!longest)
            return false;
        if (longest->closeIfIdle())
            ++closedIdle;
    }
    return true;
}

std::size_t HttpListener::unwrittenAnswers() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_connections, [](const auto &it) { return it->hasOutput(); }));
}

void HttpListener::finish()
{
    int left = acceptBacklog;
    while (left > 0 && acceptOne())
        --left;
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (const auto &connection : m_connections)
        connection->finish();
}

void HttpListener::checkTime(Base::TimePoint now)
{
    if (std::exchange(m_isOutOfDescriptors, false))
        accept();
    for (const auto &connection : m_connections)
        connection->checkTime(now);
    std::erase_if(m_connections,
                  [](const auto &it) { return !it->isOpen() && !it->hasActiveRequest(); });
}

} // namespace Gateway
