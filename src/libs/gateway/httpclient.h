#pragma once

#include "base/time.h"
#include "gateway/answerfault.h"
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

/// HTTP client for the store or another host, with one connection and one call at a time.
///
/// A connection may stop delivering without ever being reset, and no further answer arrives on a
/// connection whose answer was lost. Each call therefore has its own timeout, and the call after a
/// failure opens a new connection. An answer is read within the limits of answerfault.h.
class HttpClient final : public std::enable_shared_from_this<HttpClient>
{
public:
    /// Takes the answer, or an empty value if none came. In the latter case it is unknown whether
    /// the call was executed.
    using Done = std::function<void(const std::optional<HttpAnswer> &)>;

    HttpClient(boost::asio::io_context &io, const Settings::Address &address);

    bool isBusy() const { return static_cast<bool>(m_done); }
    /// Sends \a call; isBusy() must be false. \a done is called exactly once, never from within
    /// this function.
    void call(const HttpCall &call, Base::Duration timeout, Base::TimePoint now, Done done);
    /// What was wrong with the answer to the last call, if it failed because of that.
    AnswerFault fault() const { return m_fault; }
    /// Fails the call if its timeout has passed.
    void checkTime(Base::TimePoint now);

private:
    void connect();
    void write();
    void waitRead();
    void readable();
    /// Prepares the parser for the next head.
    void startAnswer();
    /// Parses what has come. Returns what is wrong with it.
    AnswerFault parse();
    /// Checks the head that was just parsed, and passes over a 1xx answer.
    AnswerFault headParsed();
    /// Whether the other end has closed the connection or sent data that no call asked for.
    bool isStale();
    /// Returns which limit the answer exceeds so far.
    AnswerFault exceededLimit() const;
    void fail(AnswerFault fault = AnswerFault::None);
    void finish(const std::optional<HttpAnswer> &answer);
    void close();

    boost::asio::io_context *m_io;
    Settings::Address m_address;
    Tcp::socket m_socket;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    OutputBuffer m_output;
    std::string m_input;
    /// The bytes that have come since the call, as they were sent.
    std::size_t m_answerBytes = 0;
    int m_interimAnswers = 0;
    AnswerFault m_fault = AnswerFault::None;
    Done m_done;
    Base::TimePoint m_deadline;
    bool m_isConnected = false;
    /// Number of the connection, by which a handler of an older connection recognizes that it is
    /// obsolete.
    unsigned m_generation = 0;
};

/// Returns the name for the log of why the last call of \a client brought no answer.
const char *nameOfMissing(const HttpClient &client);

} // namespace Gateway
