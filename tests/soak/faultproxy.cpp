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
    Pass,
    Delay,  ///< Bytes wait before they are passed on.
    Silent, ///< Bytes are taken and passed on in neither direction; connections stay open.
    OneWay, ///< Bytes to the server pass, bytes back do not.
    Refuse, ///< Connections are reset as they come.
};

/// What one link does now.
struct Fault
{
    Mode mode = Mode::Pass;
    std::chrono::milliseconds delay{0};
};

/// One direction of a connection, or both: copies bytes as the link's fault says.
class Pipe : public std::enable_shared_from_this<Pipe>
{
public:
    Pipe(tcp::socket from, const Fault &fault)
        : m_caller(std::move(from))
        , m_server(m_caller.get_executor())
        , m_fault(&fault)
    {}

    void start(const tcp::endpoint &target)
    {
        m_server.async_connect(target, [self = shared_from_this()](const auto &ec) {
            if (ec) {
                self->reset();
                return;
            }
            self->copy(self->m_caller, self->m_server, self->m_there, false);
            self->copy(self->m_server, self->m_caller, self->m_back, true);
        });
    }

    /// Ends both connections with a reset.
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

    void copy(tcp::socket &from, tcp::socket &to, Buffer &buf, bool isBack)
    {
        from.async_read_some(boost::asio::buffer(buf), [self = shared_from_this(), &from, &to, &buf,
                                                        isBack](const auto &ec, std::size_t n) {
            if (ec) {
                self->closeBoth();
                return;
            }
            self->pass(from, to, buf, n, isBack);
        });
    }

    void pass(tcp::socket &from, tcp::socket &to, Buffer &buf, std::size_t n, bool isBack)
    {
        const bool isLost =
            m_fault->mode == Mode::Silent || (m_fault->mode == Mode::OneWay && isBack);
        if (isLost) {
            copy(from, to, buf, isBack);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(from.get_executor());
        timer->expires_after(m_fault->mode == Mode::Delay ? m_fault->delay
                                                          : std::chrono::milliseconds(0));
        timer->async_wait([self = shared_from_this(), timer, &from, &to, &buf, n, isBack](auto) {
            boost::asio::async_write(to, boost::asio::buffer(buf, n),
                                     [self, &from, &to, &buf, isBack](const auto &ec, std::size_t) {
                                         if (ec)
                                             self->closeBoth();
                                         else
                                             self->copy(from, to, buf, isBack);
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
    Buffer m_there{};
    Buffer m_back{};
};

/// One listening port and the server behind it.
class Link
{
public:
    Link(boost::asio::io_context &io, const tcp::endpoint &from, const tcp::endpoint &to)
        : m_acceptor(io, from)
        , m_target(to)
    {
        accept();
    }

    void set(const Fault &fault) { m_fault = fault; }
    void resetAll()
    {
        for (const std::weak_ptr<Pipe> &it : m_pipes) {
            if (const std::shared_ptr<Pipe> pipe = it.lock())
                pipe->reset();
        }
        m_pipes.clear();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const auto &ec, tcp::socket socket) {
            if (!ec) {
                auto pipe = std::make_shared<Pipe>(std::move(socket), m_fault);
                m_pipes.push_back(pipe);
                if (m_fault.mode == Mode::Refuse)
                    pipe->reset();
                else
                    pipe->start(m_target);
            }
            accept();
        });
    }

    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    Fault m_fault;
    std::vector<std::weak_ptr<Pipe>> m_pipes;
};

/// Orders by datagram: "PORT pass|silent|oneway|refuse|reset" or "PORT delay MS".
class Orders
{
public:
    Orders(boost::asio::io_context &io, const udp::endpoint &at,
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
                                            obey({m_buffer.data(), n});
                                        receive();
                                    });
    }

    void obey(const std::string &text)
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

/// faultproxy IP ORDER_PORT FROM_PORT:TO_PORT...: passes connections on, and harms them as ordered.
int main(int argc, char **argv)
{
    if (argc < 4) {
        std::fputs("usage: faultproxy IP ORDER_PORT FROM:TO...\n", stderr);
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
    Orders orders(io, udp::endpoint(ip, static_cast<std::uint16_t>(std::stoi(argv[2]))), links);
    std::puts("ready");
    std::fflush(stdout);
    io.run();
    return 0;
}
