#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

enum class Mode {
    Pass,   ///< Bytes are forwarded at once.
    Delay,  ///< Bytes are forwarded after a delay.
    Silent, ///< Bytes of both directions are read and dropped; connections stay open.
    OneWay, ///< Bytes to the server are forwarded; bytes to the caller are dropped.
    Refuse, ///< New connections are reset.
};

/// The fault that is active on one link.
struct Fault
{
    Mode mode = Mode::Pass;
    std::chrono::milliseconds delay{0};
};

/// A caller's connection and the one to the server behind it. Forwards bytes in both directions as
/// the link's active fault says.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket from, const Fault &fault)
        : m_caller(std::move(from))
        , m_server(m_caller.get_executor())
        , m_fault(&fault)
    {}

    /// Connects to \a target and starts to forward; resets the caller if that fails.
    void start(const tcp::endpoint &target)
    {
        m_server.async_connect(target, [self = shared_from_this()](const auto &ec) {
            if (ec) {
                self->reset();
                return;
            }
            self->copy(self->m_caller, self->m_server, self->m_toServer, false);
            self->copy(self->m_server, self->m_caller, self->m_toCaller, true);
        });
    }

    /// Resets both connections.
    void reset()
    {
        for (tcp::socket *socket : {&m_caller, &m_server}) {
            boost::system::error_code ec;
            socket->set_option(boost::asio::socket_base::linger(true, 0), ec);
            socket->close(ec);
        }
    }

private:
    using Buffer = std::array<char, 8192>;

    void copy(tcp::socket &from, tcp::socket &to, Buffer &buf, bool isToCaller)
    {
        from.async_read_some(boost::asio::buffer(buf), [self = shared_from_this(), &from, &to, &buf,
                                                        isToCaller](const auto &ec, std::size_t n) {
            if (ec) {
                self->closeBoth();
                return;
            }
            self->pass(from, to, buf, n, isToCaller);
        });
    }

    void pass(tcp::socket &from, tcp::socket &to, Buffer &buf, std::size_t n, bool isToCaller)
    {
        const bool isDropped =
            m_fault->mode == Mode::Silent || (m_fault->mode == Mode::OneWay && isToCaller);
        if (isDropped) {
            copy(from, to, buf, isToCaller);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(from.get_executor());
        timer->expires_after(m_fault->mode == Mode::Delay ? m_fault->delay
                                                          : std::chrono::milliseconds(0));
        timer->async_wait(
            [self = shared_from_this(), timer, &from, &to, &buf, n, isToCaller](auto) {
                boost::asio::async_write(
                    to, boost::asio::buffer(buf, n),
                    [self, &from, &to, &buf, isToCaller](const auto &ec, std::size_t) {
                        if (ec)
                            self->closeBoth();
                        else
                            self->copy(from, to, buf, isToCaller);
                    });
            });
    }

    void closeBoth()
    {
        boost::system::error_code ec;
        m_caller.close(ec);
        m_server.close(ec);
    }

    tcp::socket m_caller;
    tcp::socket m_server;
    const Fault *m_fault;
    Buffer m_toServer{};
    Buffer m_toCaller{};
};

/// One listening port, the server behind it and the active fault.
class Link
{
public:
    Link(boost::asio::io_context &io, const tcp::endpoint &from, const tcp::endpoint &to)
        : m_acceptor(io, from)
        , m_target(to)
    {
        accept();
    }

    /// Sets the fault of current and new connections.
    void set(const Fault &fault) { m_fault = fault; }
    /// Resets all connections.
    void resetAll()
    {
        for (const std::weak_ptr<Connection> &it : m_connections) {
            if (const std::shared_ptr<Connection> connection = it.lock())
                connection->reset();
        }
        m_connections.clear();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const auto &ec, tcp::socket socket) {
            if (!ec) {
                auto connection = std::make_shared<Connection>(std::move(socket), m_fault);
                m_connections.push_back(connection);
                if (m_fault.mode == Mode::Refuse)
                    connection->reset();
                else
                    connection->start(m_target);
            }
            accept();
        });
    }

    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    Fault m_fault;
    std::vector<std::weak_ptr<Connection>> m_connections;
};

/// Receives commands as datagrams: "PORT pass|silent|oneway|refuse|reset" or "PORT delay MS".
/// Unknown ports and commands are ignored.
class FaultCommands
{
public:
    FaultCommands(boost::asio::io_context &io, const udp::endpoint &at,
                  std::map<int, std::unique_ptr<Link>> &links)
        : m_socket(io, at)
        , m_links(&links)
    {
        receive();
    }

private:
    void receive()
    {
        m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_from,
                                    [this](const auto &ec, std::size_t n) {
                                        if (!ec)
                                            execute({m_buffer.data(), n});
                                        receive();
                                    });
    }

    void execute(const std::string &text)
    {
        static const std::map<std::string, Mode> modes = {{"pass", Mode::Pass},
                                                          {"delay", Mode::Delay},
                                                          {"silent", Mode::Silent},
                                                          {"oneway", Mode::OneWay},
                                                          {"refuse", Mode::Refuse}};
        std::istringstream in(text);
        int port = 0;
        std::string mode;
        long delay = 0;
        in >> port >> mode >> delay;
        const auto link = m_links->find(port);
        if (link == m_links->end())
            return;
        if (mode == "reset")
            link->second->resetAll();
        const auto known = modes.find(mode);
        if (known != modes.end())
            link->second->set({known->second, std::chrono::milliseconds(delay)});
    }

    udp::socket m_socket;
    udp::endpoint m_from;
    std::array<char, 256> m_buffer{};
    std::map<int, std::unique_ptr<Link>> *m_links;
};

} // namespace

/// faultproxy IP COMMAND_PORT FROM_PORT:TO_PORT...: forwards the connections of each FROM_PORT to
/// its TO_PORT, with the faults that are set by datagrams to COMMAND_PORT.
int main(int argc, char **argv)
{
    if (argc < 4) {
        std::fputs("usage: faultproxy IP COMMAND_PORT FROM:TO...\n", stderr);
        return 2;
    }
    boost::asio::io_context io;
    const auto ip = boost::asio::ip::make_address_v4(argv[1]);
    std::map<int, std::unique_ptr<Link>> links;
    for (int i = 3; i < argc; ++i) {
        int from = 0;
        int to = 0;
        if (std::sscanf(argv[i], "%d:%d", &from, &to) != 2)
            return 2;
        links[from] =
            std::make_unique<Link>(io, tcp::endpoint(ip, static_cast<std::uint16_t>(from)),
                                   tcp::endpoint(ip, static_cast<std::uint16_t>(to)));
    }
    FaultCommands commands(io, udp::endpoint(ip, static_cast<std::uint16_t>(std::stoi(argv[2]))),
                           links);
    std::puts("ready");
    std::fflush(stdout);
    io.run();
    return 0;
}
