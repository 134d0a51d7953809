#include "daemon/httpbackendclient.h"

#include "daemon/daemonconstants.h"
#include "untrusted/jsonbytes.h"

#include <nlohmann/json.hpp>

namespace Daemon {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxIdleBackendConnections = 256;
constexpr std::size_t maxLoadAnswerBytes = 65536;

std::size_t countOf(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_number_unsigned() ? it->get<std::size_t>() : 0;
}

} // namespace

Base::Result<std::unique_ptr<HttpBackendClient>> HttpBackendClient::create(EventRing &ring)
{
    std::unique_ptr<HttpBackendClient> client(new HttpBackendClient(ring));
    BOOST_LEAF_ASSIGN(client->m_loop, TransferLoop::create({0, maxIdleBackendConnections}));
    return client;
}

HttpBackendClient::HttpBackendClient(EventRing &ring)
    : m_ring(ring)
{}

void HttpBackendClient::send(const Node::BackendRequest &request)
{
    m_loop->post([this, request] { startSend(request); });
}

void HttpBackendClient::cancel(const Node::AttemptId &attempt)
{
    m_loop->post([this, attempt] { startCancel(attempt); });
}

void HttpBackendClient::pause(const Node::AttemptId &attempt)
{
    m_loop->post([this, attempt] {
        if (BackendTransfer *transfer = find(attempt))
            transfer->pause();
    });
}

void HttpBackendClient::resume(const Node::AttemptId &attempt)
{
    m_loop->post([this, attempt] {
        if (BackendTransfer *transfer = find(attempt))
            transfer->resume();
    });
}

void HttpBackendClient::pollLoad(const Base::ServerId &server, const std::string &address)
{
    m_loop->post([this, server, address] { startPoll(server, address); });
}

void HttpBackendClient::startSend(const Node::BackendRequest &request)
{
    auto transfer = std::make_unique<BackendTransfer>(
        request, m_ring, [this](const BackendTransfer &it) { m_transfers.erase(it.attempt()); });
    m_transfers[request.attempt] = transfer.get();
    m_loop->add(std::move(transfer));
}

void HttpBackendClient::startCancel(const Node::AttemptId &attempt)
{
    BackendTransfer *transfer = find(attempt);
    if (!transfer)
        return;
    TransferRequest request;
    request.method = "DELETE";
    request.url = "http://" + transfer->address() + "/v1/streams/" + transfer->streamName();
    request.deadline = Base::Clock::now() + cancelTimeout;
    const bool hasStreamName = !transfer->streamName().empty();
    m_transfers.erase(attempt);
    m_loop->drop(*transfer);
    // Closing the connection makes most servers stop. The DELETE is for servers that continue a
    // stream because its caller may come back.
    if (hasStreamName)
        m_loop->add(std::make_unique<BufferedTransfer>(request, maxLoadAnswerBytes,
                                                       [](const BufferedAnswer &) {}));
}

void HttpBackendClient::startPoll(const Base::ServerId &server, const std::string &address)
{
    if (!m_pendingPolls.insert(server).second)
        return;
    TransferRequest request;
    request.url = "http://" + address + "/load";
    request.deadline = Base::Clock::now() + loadPollTimeout;
    m_loop->add(std::make_unique<BufferedTransfer>(
        request, maxLoadAnswerBytes,
        [this, server](const BufferedAnswer &answer) { handleLoad(server, answer); }));
}

void HttpBackendClient::handleLoad(const Base::ServerId &server, const BufferedAnswer &answer)
{
    m_pendingPolls.erase(server);
    Node::BackendLoad load;
    load.server = server;
    const Json json = Untrusted::readJson(answer.body);
    load.isReachable = answer.isComplete() && answer.status == 200 && json.is_object();
    if (load.isReachable) {
        load.report.running = countOf(json, "running");
        load.report.queued = countOf(json, "queued");
    }
    m_ring.push(load);
}

BackendTransfer *HttpBackendClient::find(const Node::AttemptId &attempt)
{
    const auto it = m_transfers.find(attempt);
    return it == m_transfers.end() ? nullptr : it->second;
}

} // namespace Daemon
