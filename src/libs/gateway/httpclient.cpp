#include "gateway/httpclient.h"

#include "gateway/messageframing.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/post.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <string_view>
#include <utility>

namespace Gateway {

namespace {

constexpr std::size_t readChunkSize = 65536;
/// The largest answer of the store or another host, as it is sent. A list of ten thousand servers
/// takes over a megabyte.
constexpr std::size_t maxStoreAnswerBytes = 64UL * 1024 * 1024;

AnswerFault faultOf(const boost::system::error_code &ec)
{
    if (ec == Http::error::header_limit)
        return AnswerFault::LongHead;
    return ec == Http::error::body_limit ? AnswerFault::LongBody : AnswerFault::Malformed;
}

} // namespace

HttpClient::HttpClient(boost::asio::io_context &io, const Settings::Address &address)
    : m_io(&io)
    , m_address(address)
    , m_socket(io)
{}

void HttpClient::call(const HttpCall &call, Base::Duration timeout, Base::TimePoint now, Done done)
{
    // What has come before the call does not answer it.
    if (m_isConnected && isStale())
        close();
    m_done = std::move(done);
    m_deadline = now + timeout;
    startAnswer();
    m_interimAnswers = 0;
    m_answerBytes = 0;
    m_fault = AnswerFault::None;
    std::string text =
        call.method + " " + call.target + " HTTP/1.1\r\nHost: " + toString(m_address) + "\r\n";
    if (!call.body.empty())
        text += "Content-Type: application/json\r\nContent-Length: "
                + std::to_string(call.body.size()) + "\r\n";
    m_output.clear();
    m_output.append(text + "\r\n" + call.body);
    // The work is posted, so that a failure is not reported from within this function.
    boost::asio::post(*m_io, [self = shared_from_this()] {
        if (self->m_isConnected)
            self->write();
        else
            self->connect();
    });
}

void HttpClient::checkTime(Base::TimePoint now)
{
    if (m_done && now >= m_deadline)
        fail();
}

void HttpClient::connect()
{
    m_socket = Tcp::socket(*m_io);
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address_v4(m_address.ip, ec);
    const unsigned generation = ++m_generation;
    m_socket.async_connect({ip, m_address.port}, [self = shared_from_this(), generation](
                                                     const boost::system::error_code &result) {
        if (generation != self->m_generation || !self->m_done)
            return;
        if (result) {
            self->fail();
            return;
        }
        boost::system::error_code ignored;
        self->m_socket.non_blocking(true, ignored);
        self->m_socket.set_option(Tcp::no_delay(true), ignored);
        self->m_isConnected = true;
        self->write();
        self->waitRead();
    });
}

void HttpClient::write()
{
    if (!m_done)
        return;
    boost::system::error_code ec;
    m_output.flush(m_socket, ec);
    if (ec) {
        fail();
        return;
    }
    if (m_output.isEmpty())
        return;
    m_socket.async_wait(Tcp::socket::wait_write,
                        [self = shared_from_this(),
                         generation = m_generation](const boost::system::error_code &it) {
                            if (!it && generation == self->m_generation)
                                self->write();
                        });
}

void HttpClient::waitRead()
{
    m_socket.async_wait(Tcp::socket::wait_read,
                        [self = shared_from_this(),
                         generation = m_generation](const boost::system::error_code &it) {
                            if (!it && generation == self->m_generation)
                                self->readable();
                        });
}

void HttpClient::readable()
{
    const std::size_t oldSize = m_input.size();
    m_input.resize(oldSize + readChunkSize);
    boost::system::error_code ec;
    const std::size_t n =
        m_socket.read_some(boost::asio::buffer(m_input.data() + oldSize, readChunkSize), ec);
    m_input.resize(oldSize + n);
    m_answerBytes += n;
    if (ec == boost::asio::error::would_block) {
        waitRead();
        return;
    }
    if (ec || !m_done) {
        fail();
        return;
    }
    AnswerFault fault = parse();
    if (fault == AnswerFault::None)
        fault = exceededLimit();
    if (fault != AnswerFault::None) {
        fail(fault);
        return;
    }
    if (!m_parser->is_done()) {
        waitRead();
        return;
    }
    HttpAnswer answer{m_parser->get().result_int(), std::move(m_parser->get().body())};
    if (!m_parser->keep_alive() || !m_input.empty())
        close();
    else
        waitRead();
    finish(answer);
}

void HttpClient::startAnswer()
{
    m_parser.emplace();
    // The parser stops after the head, which tells whether the end of the body is clear.
    m_parser->eager(false);
    m_parser->header_limit(maxAnswerHeadBytes);
    m_parser->body_limit(maxStoreAnswerBytes);
}

AnswerFault HttpClient::parse()
{
    while (!m_input.empty() && !m_parser->is_done()) {
        const bool isInHead = !m_parser->is_header_done();
        boost::system::error_code ec;
        const std::size_t used = m_parser->put(boost::asio::buffer(m_input), ec);
        const bool isFolded = isInHead && hasFoldedLine(std::string_view(m_input).substr(0, used));
        m_input.erase(0, used);
        if (ec && ec != Http::error::need_more)
            return faultOf(ec);
        if (isFolded)
            return AnswerFault::Malformed;
        if (isInHead && m_parser->is_header_done()) {
            if (const AnswerFault fault = headParsed(); fault != AnswerFault::None)
                return fault;
            continue;
        }
        if (ec)
            break;
    }
    return AnswerFault::None;
}

AnswerFault HttpClient::headParsed()
{
    const ResponseHead &head = m_parser->get().base();
    if (!isAnswerHead(head))
        return AnswerFault::Malformed;
    if (Http::to_status_class(head.result_int()) == Http::status_class::informational) {
        if (++m_interimAnswers > maxInterimAnswers)
            return AnswerFault::ManyInterimAnswers;
        startAnswer();
        return AnswerFault::None;
    }
    m_parser->on_chunk_header(checkChunkExtensions);
    m_parser->eager(true);
    return AnswerFault::None;
}

bool HttpClient::isStale()
{
    char byte = 0;
    return recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0
           || (errno != EAGAIN && errno != EWOULDBLOCK);
}

AnswerFault HttpClient::exceededLimit() const
{
    if (!m_parser->is_header_done())
        return m_answerBytes > maxAnswerHeadBytes ? AnswerFault::LongHead : AnswerFault::None;
    // Once the head is parsed, the parser leaves nothing but incomplete text between chunks.
    if (!m_parser->is_done() && m_input.size() > maxChunkFramingBytes)
        return AnswerFault::LongChunkFraming;
    return m_answerBytes > maxStoreAnswerBytes ? AnswerFault::LongBody : AnswerFault::None;
}

void HttpClient::fail(AnswerFault fault)
{
    m_fault = fault;
    close();
    if (m_done)
        finish(std::nullopt);
}

void HttpClient::finish(const std::optional<HttpAnswer> &answer)
{
    const Done done = std::exchange(m_done, nullptr);
    done(answer);
}

void HttpClient::close()
{
    ++m_generation;
    m_isConnected = false;
    m_input.clear();
    m_output.clear();
    boost::system::error_code ec;
    m_socket.close(ec);
}

const char *nameOfMissing(const HttpClient &client)
{
    return client.fault() == AnswerFault::None ? "no answer" : nameOf(client.fault());
}

} // namespace Gateway
