#pragma once

#include "scriptedserver.h"

#include "daemon/httpbackendclient.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Daemon {

/// An answer with a length, behind the status line and the fields of \a head.
inline std::string fixedAnswer(const std::string &head, const std::string &body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A chat request to the server at \a address.
inline Node::BackendRequest requestTo(const std::string &address)
{
    Node::BackendRequest request;
    request.attempt = {{Base::HostId("r1"), 7, 3}, 1};
    request.server = Base::ServerId("m1");
    request.address = address;
    request.path = "/v1/chat/completions";
    request.contentType = "application/json";
    request.body = R"({"model":"m"})";
    return request;
}

/// A client, and the events that it pushes for the node.
class ClientFixture
{
public:
    explicit ClientFixture(std::size_t ringCapacity = 64)
        : m_ring(ringCapacity)
    {
        auto created = HttpBackendClient::create(m_ring);
        REQUIRE(created);
        m_client = std::move(*created);
    }

    HttpBackendClient &client() { return *m_client; }
    EventRing &ring() { return m_ring; }

    /// Returns the next event. The time limit only keeps a failing test from hanging.
    Node::Event next()
    {
        const auto event = m_ring.popFor(std::chrono::seconds(20));
        REQUIRE(event);
        return *event;
    }

    template <typename Event>
    Event expect()
    {
        const Node::Event event = next();
        REQUIRE(std::holds_alternative<Event>(event));
        return std::get<Event>(event);
    }

private:
    EventRing m_ring;
    std::unique_ptr<HttpBackendClient> m_client;
};

/// What reached the node of an attempt.
struct SeenAnswer
{
    std::vector<int> statuses;
    std::string text;
    bool isFinished = false;
    Node::SendState sent = Node::SendState::NeverSent;

    /// Whether the attempt failed, and may have run.
    bool isFailed() const { return !isFinished && sent == Node::SendState::MaybeRan; }
    bool isEmpty() const { return statuses.empty() && text.empty(); }
};

/// Sends \a request, and collects what reaches the node until the attempt ends.
inline SeenAnswer seenOf(const Node::BackendRequest &request)
{
    ClientFixture fixture;
    fixture.client().send(request);
    SeenAnswer seen;
    while (true) {
        const Node::Event event = fixture.next();
        if (const auto *head = std::get_if<Node::BackendHead>(&event))
            seen.statuses.push_back(head->status);
        if (const auto *part = std::get_if<Node::BackendPart>(&event))
            seen.text += part->payload;
        if (const auto *failed = std::get_if<Node::BackendFailed>(&event)) {
            seen.sent = failed->sent;
            return seen;
        }
        if (std::holds_alternative<Node::BackendFinished>(event)) {
            seen.isFinished = true;
            return seen;
        }
    }
}

/// A call to a service at \a server.
inline Node::BackendRequest callTo(const ScriptedServer &server, const std::string &body = "x")
{
    Node::BackendRequest request = requestTo(server.address());
    request.kind = Node::WorkKind::ServiceCall;
    request.body = body;
    return request;
}

/// What reaches the node of a call to a service that answers with \a text.
inline SeenAnswer seenOfCall(const std::string &text)
{
    const ScriptedServer server([&](ScriptedConnection &it) {
        it.readRequest();
        it.write(text);
        it.closeSending();
        it.waitForClose();
    });
    return seenOf(callTo(server));
}

} // namespace Daemon
