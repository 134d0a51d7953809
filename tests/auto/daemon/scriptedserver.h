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

    /// Returns the head and the body of the next request, or nothing if the other side has closed
    /// the connection.
    std::string readRequest();
    /// Waits for the first bytes of a request, and leaves most of them unread.
    void readBegin();
    /// Sends \a bytes. Returns whether the system has accepted all of them.
    bool write(const std::string &bytes);
    /// Waits until the other side closes the connection.
    void waitForClose();
    /// Waits until the other side's system has received all that was sent.
    void waitUntilReceived();
    /// Ends the answer, as a server does that goes on reading.
    void closeSending();
    /// Makes the connection end with a reset, so that bytes in transit are lost.
    void reset();

private:
    int m_socket;
    std::string m_pending;
};

/// A server that runs the test's script for each connection and so controls every byte. The server
/// of a library could not cut an answer at an arbitrary place.
class ScriptedServer
{
public:
    using Script = std::function<void(ScriptedConnection &)>;

    explicit ScriptedServer(Script script);
    ~ScriptedServer();

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// Returns the number of connections accepted so far.
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

/// Returns an "IP:PORT" at which no process listens.
std::string unusedAddress();

/// Returns a socket that is connected to \a port of this host, or -1.
int connectTo(std::uint16_t port);
/// Sends \a request and returns what arrives until the other side closes the connection or \a until
/// has arrived.
std::string exchange(std::uint16_t port, const std::string &request, const std::string &until = {});
/// Returns what arrives at \a socket until the other side closes the connection or \a until has
/// arrived.
std::string readFrom(int socket, const std::string &until = {});
void writeTo(int socket, const std::string &bytes);
