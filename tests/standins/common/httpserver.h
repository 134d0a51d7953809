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

/// The server could not listen on its address.
struct ListenFailed
{
    std::string address;
};

/// One request as its handler sees it. Valid until the handler returns.
class HttpRequest
{
public:
    std::string method;
    /// Without the query; percent-decoding is left to the handler.
    std::string path;
    std::string body;

    std::string header(const std::string &name) const;
    std::string query(const std::string &name) const;
    /// The number in a header; 0 if there is none.
    std::uint64_t headerNumber(const std::string &name) const;

    /// File number of the caller's connection.
    int connection = -1;
    std::map<std::string, std::string> headers; ///< Keys in lower case.
    std::map<std::string, std::string> queries;
};

/// Whether the other side of \a connection has neither closed nor shut down its sending side.
bool isConnectionOpen(int connection);

/// A body that is made while it is sent.
class BodyStream
{
public:
    virtual ~BodyStream() = default;
    /// Waits for the next piece. An empty piece ends the body.
    /// std::nullopt cuts the connection without ending the body.
    virtual std::optional<std::string> next() = 0;
};

struct HttpResponse
{
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Instead of body, if set.
    std::unique_ptr<BodyStream> stream;
    /// Closes the connection without any answer.
    bool isCut = false;
};

using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

/// An HTTP/1.1 server with a thread for each connection; a handler may wait.
class HttpServer
{
public:
    /// Listens on \a address, "IP:PORT", until the process ends. Fails with ListenFailed.
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
