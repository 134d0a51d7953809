#pragma once

#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

struct sockaddr;

namespace StandIn {

/// Error: the server could not listen on \a address.
struct ListenFailed
{
    std::string address;
};

/// One request. Its connection is valid until the handler returns.
class HttpRequest
{
public:
    std::string method;
    /// The path without the query; it is not percent-decoded.
    std::string path;
    std::string body;

    /// Value of a header; \a name is case-insensitive. Empty if there is none.
    std::string header(const std::string &name) const;
    /// Value of a query parameter; empty if there is none.
    std::string query(const std::string &name) const;
    /// Value of a header as a number; 0 if there is none.
    std::uint64_t headerNumber(const std::string &name) const;

    /// File descriptor of the caller's connection; -1 if it is unknown.
    int connection = -1;
    std::map<std::string, std::string> headers; ///< Keys in lower case.
    std::map<std::string, std::string> queries;
};

/// Whether the peer of \a connection has neither closed it nor shut down its sending side.
bool isConnectionOpen(int connection);

/// A body that is generated while it is sent.
class BodyStream
{
public:
    virtual ~BodyStream() = default;
    /// Blocks until the next piece is available and returns it. An empty piece ends the body;
    /// std::nullopt closes the connection before the body is complete.
    virtual std::optional<std::string> next() = 0;
};

/// The answer to one request.
struct HttpResponse
{
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Replaces `body` if it is set.
    std::unique_ptr<BodyStream> stream;
    /// Whether the connection is closed without an answer.
    bool isCut = false;
};

using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

/// An HTTP/1.1 server with a thread for each connection, so a handler may block.
class HttpServer
{
public:
    /// Listens on \a address, "IP:PORT", until the server is destroyed. Fails with ListenFailed.
    static Base::Result<std::unique_ptr<HttpServer>> start(const std::string &address,
                                                           HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    struct Private;
    explicit HttpServer(std::unique_ptr<Private> d);
    std::unique_ptr<Private> m_private;
};

} // namespace StandIn
