#include "scriptedserver.h"

#include <algorithm>
#include <array>
#include <cstdlib>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

std::uint16_t bindFree(int socket)
{
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<sockaddr *>(&address), size) != 0)
        return 0;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// Appends the next bytes to \a text. Returns false when the other side has closed the connection.
bool readMore(int socket, std::string &text)
{
    std::array<char, 65536> buf{};
    const ssize_t n = ::recv(socket, buf.data(), buf.size(), 0);
    if (n <= 0)
        return false;
    text.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

std::size_t bodyLength(std::string head)
{
    std::transform(head.begin(), head.end(), head.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    const std::string field = "content-length:";
    const std::size_t at = head.find(field);
    return at == std::string::npos ? 0
                                   : std::strtoul(head.c_str() + at + field.size(), nullptr, 10);
}

} // namespace

std::string ScriptedConnection::readRequest()
{
    std::size_t end = m_pending.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!readMore(m_socket, m_pending))
            return {};
        end = m_pending.find("\r\n\r\n");
    }
    const std::size_t size = end + 4 + bodyLength(m_pending.substr(0, end));
    while (m_pending.size() < size) {
        if (!readMore(m_socket, m_pending))
            return {};
    }
    std::string request = m_pending.substr(0, size);
    m_pending.erase(0, size);
    return request;
}

void ScriptedConnection::readBegin()
{
    char byte = 0;
    ::recv(m_socket, &byte, 1, 0);
}

bool ScriptedConnection::write(const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t n =
            ::send(m_socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        written += static_cast<std::size_t>(n);
    }
    return true;
}

void ScriptedConnection::waitForClose()
{
    std::string ignored;
    while (readMore(m_socket, ignored))
        ignored.clear();
}

void ScriptedConnection::waitUntilReceived()
{
    for (int unsent = 1; unsent > 0;) {
        if (::ioctl(m_socket, TIOCOUTQ, &unsent) != 0)
            return;
    }
}

void ScriptedConnection::closeSending()
{
    ::shutdown(m_socket, SHUT_WR);
}

void ScriptedConnection::reset()
{
    const linger now{1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

ScriptedServer::ScriptedServer(Script script)
    : m_script(std::move(script))
    , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    m_port = bindFree(m_listener);
    ::listen(m_listener, 128);
    m_acceptor = std::thread([this] { accept(); });
}

ScriptedServer::~ScriptedServer()
{
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_sockets)
            ::shutdown(socket, SHUT_RDWR);
    }
    for (std::thread &thread : m_threads)
        thread.join();
    ::close(m_listener);
}

void ScriptedServer::accept()
{
    while (true) {
        const int socket = ::accept(m_listener, nullptr, nullptr);
        if (socket < 0)
            return;
        ++m_connections;
        const std::lock_guard lock(m_mutex);
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket] {
            ScriptedConnection connection(socket);
            m_script(connection);
            const std::lock_guard closing(m_mutex);
            std::erase(m_sockets, socket);
            ::close(socket);
        });
    }
}

std::string unusedAddress()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const std::uint16_t port = bindFree(socket);
    ::close(socket);
    return "127.0.0.1:" + std::to_string(port);
}

int connectTo(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(port);
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

void writeTo(int socket, const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t n =
            ::send(socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (n <= 0)
            return;
        written += static_cast<std::size_t>(n);
    }
}

std::string readFrom(int socket, const std::string &until)
{
    std::string text;
    while (until.empty() || text.find(until) == std::string::npos) {
        if (!readMore(socket, text))
            break;
    }
    return text;
}

std::string exchange(std::uint16_t port, const std::string &request, const std::string &until)
{
    const int socket = connectTo(port);
    writeTo(socket, request);
    std::string answer = readFrom(socket, until);
    ::close(socket);
    return answer;
}
