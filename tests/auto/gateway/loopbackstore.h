#pragma once

#include "fakestore.h"
#include "gateway/eventlog.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/httplistener.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <memory>
#include <string>

namespace Gateway {

/// A fake store on loopback, and what hosts need to call it.
class LoopbackStore
{
public:
    LoopbackStore()
    {
        boost::leaf::try_handle_all(
            [&]() -> Base::Result<void> {
                BOOST_LEAF_ASSIGN(
                    m_server,
                    HttpListener::create(m_io, m_address, {store, m_limits, m_buffer, m_share}));
                BOOST_LEAF_ASSIGN(m_metrics, GatewayMetrics::create());
                return {};
            },
            [] { FAIL("cannot listen"); });
    }
    ~LoopbackStore() { close(m_null); }
    LoopbackStore(const LoopbackStore &) = delete;
    LoopbackStore &operator=(const LoopbackStore &) = delete;

    FakeStoreProtocol protocol;
    FakeStore store;

protected:
    /// Carries out what is due of the calls, for about a millisecond.
    void poll()
    {
        m_io.restart();
        m_io.poll();
        usleep(1000);
    }

    CallerShare m_share;
    boost::asio::io_context m_io;
    int m_null = open("/dev/null", O_WRONLY | O_CLOEXEC);
    EventLog m_log{m_null, 0};
    ConnectionLimits m_limits;
    std::string m_buffer = std::string(65536, '\0');
    Settings::Address m_address = freeAddress(m_io);
    std::unique_ptr<HttpListener> m_server;
    std::unique_ptr<GatewayMetrics> m_metrics;

private:
    static Settings::Address freeAddress(boost::asio::io_context &io)
    {
        Tcp::acceptor probe(io, {boost::asio::ip::make_address_v4("127.0.0.1"), 0});
        return {"127.0.0.1", probe.local_endpoint().port()};
    }
};

} // namespace Gateway
