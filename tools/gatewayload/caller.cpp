#include "caller.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string_view>

namespace {

using boost::asio::ip::tcp;

std::string requestText(const LoadPlan &plan, const std::string &id)
{
    std::string text = (plan.isStream ? "POST " : "GET ") + plan.path + " HTTP/1.1\r\n"
                       + "Host: cars.example\r\nDeadline-Ms: 60000\r\nAttempt-Id: " + id
                       + "\r\nAuthorization: Bearer key-1\r\n";
    if (plan.isStream)
        text += "Model: m\r\nToken-Count: 700,40\r\nPrefix-Hash: ab:500,cd:200\r\n"
                "Content-Length: 0\r\n";
    return text + "\r\n";
}

std::uint64_t countOccurrences(std::string_view text, std::string_view pattern)
{
    std::uint64_t n = 0;
    for (std::size_t at = text.find(pattern); at != std::string_view::npos;
         at = text.find(pattern, at + pattern.size()))
        ++n;
    return n;
}

/// Returns whether \a text holds one complete HTTP answer.
bool isComplete(const std::string &text)
{
    const std::size_t head = text.find("\r\n\r\n");
    if (head == std::string::npos)
        return false;
    if (text.find("Transfer-Encoding: chunked") < head)
        return text.find("\r\n0\r\n\r\n", head) != std::string::npos;
    const std::size_t length = text.find("Content-Length: ");
    return length < head && text.size() - head - 4 >= std::stoul(text.substr(length + 16));
}

/// Sends \a request and reads its answer. Returns whether the answer is complete with status 200.
bool exchange(tcp::socket &socket, const std::string &request, bool isStream, LoadCounts &counts)
{
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(request), ec);
    std::string answer;
    std::array<char, 8192> buf{};
    bool isOpen = false;
    while (!ec && !isComplete(answer)) {
        const std::size_t n = socket.read_some(boost::asio::buffer(buf), ec);
        answer.append(buf.data(), n);
        if (isStream && !isOpen && n > 0) {
            isOpen = true;
            ++counts.openStreams;
        }
    }
    if (isOpen)
        --counts.openStreams;
    counts.events += countOccurrences(answer, "\ndata: ");
    return !ec && answer.rfind("HTTP/1.1 200", 0) == 0;
}

} // namespace

void runCaller(const LoadPlan &plan, std::uint64_t caller, const std::atomic<bool> &isStopped,
               LoadCounts &counts)
{
    boost::asio::io_context io;
    const tcp::endpoint endpoint(boost::asio::ip::make_address(plan.ip), plan.port);
    std::uint64_t serial = 0;
    while (!isStopped) {
        tcp::socket socket(io);
        boost::system::error_code ec;
        socket.connect(endpoint, ec);
        while (!ec && !isStopped) {
            const std::string id = std::to_string(caller) + "-" + std::to_string(++serial);
            const bool hasSucceeded =
                exchange(socket, requestText(plan, id), plan.isStream, counts);
            ++(hasSucceeded ? counts.requests : counts.failures);
            if (!hasSucceeded)
                break;
        }
    }
}
