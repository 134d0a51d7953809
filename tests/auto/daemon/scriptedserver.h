#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// One connection of a ScriptedServer, on its own thread.
class ScriptedConnection
{
public:
    explicit ScriptedConnection(int socket)
        : m_socket(socket)
    {}

    /// The head and the body of the next request; empty when the other side has closed.
    std::string readRequest();
    /// Whether all was taken by the system.
    bool write(const std::string &bytes);
    /// Waits until the other side closes.
    void waitForClose();
    /// Closes with a reset, so that bytes on their way are lost.
    void reset();

private:
    int m_socket;
    std::string m_pending;
};

/// A server that does to each connection what the test says, byte by byte. A library's server
/// would not cut an answer where a test wants it cut.
class ScriptedServer
{
public:
    using Script = std::function<void(ScriptedConnection &)>;

    explicit ScriptedServer(Script script);
    ~ScriptedServer();

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// Connections taken so far.
    int connections() const { return m_connections; }

private:
    void accept();

    Script m_script;
    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<int> m_connections = 0;
    std::mutex m_mutex;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// "IP:PORT" at which nobody listens.
std::string unusedAddress();

/// A connection to \a port of this host.
int connectTo(std::uint16_t port);
/// Sends \a request and reads until the other side closes or \a until has come.
std::string exchange(std::uint16_t port, const std::string &request, const std::string &until = {});
/// Reads on from \a socket until the other side closes or \a until has come.
std::string readFrom(int socket, const std::string &until = {});
void writeTo(int socket, const std::string &bytes);
