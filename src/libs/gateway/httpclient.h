#pragma once

#include "base/time.h"
#include "gateway/outputbuffer.h"
#include "gateway/storeprotocol.h"
#include "settings/address.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Gateway {

/// One connection to the store, or to another host, and one call at a time.
///
/// A connection may fall silent for good without a reset, and one whose answer was lost delivers
/// nothing further. So each call has a timeout of its own, and after a failure the next call
/// opens a new connection.
class HttpLane final : public std::enable_shared_from_this<HttpLane>
{
public:
    /// Empty if no answer came. It is then not known whether the call was done.
    using Done = std::function<void(const std::optional<HttpAnswer> &)>;

    HttpLane(boost::asio::io_context &io, const Settings::Address &address);

    bool isBusy() const { return static_cast<bool>(m_done); }
    /// \a done is called once, never from within this call.
    void call(const HttpCall &call, Base::Duration timeout, Base::TimePoint now, Done done);
    void checkTime(Base::TimePoint now);

private:
    void connect();
    void write();
    void waitRead();
    void readable();
    void fail();
    void finish(const std::optional<HttpAnswer> &answer);
    void close();

    boost::asio::io_context *m_io;
    Settings::Address m_address;
    Tcp::socket m_socket;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    OutputBuffer m_output;
    std::string m_input;
    Done m_done;
    Base::TimePoint m_giveUpAt;
    bool m_isConnected = false;
    /// Counts connections, so that a handler of an older one is told from the present one's.
    unsigned m_generation = 0;
};

} // namespace Gateway
