#pragma once

#include "base/result.h"
#include "daemon/backendtransfer.h"
#include "daemon/bufferedtransfer.h"
#include "daemon/eventring.h"
#include "daemon/transferloop.h"
#include "node/backendclient.h"

#include <map>
#include <memory>
#include <set>

namespace Daemon {

/// Sends the node's requests to the backend servers. One thread runs all transfers.
class HttpBackendClient final : public Node::BackendClient
{
public:
    /// Creates the client and starts its thread. Fails with ClientUnavailable.
    static Base::Result<std::unique_ptr<HttpBackendClient>> create(EventRing &ring);

    void send(const Node::BackendRequest &request) override;
    /// Ends the attempt and tells the server to stop the stream if its name is known. No later
    /// event names the attempt.
    void cancel(const Node::AttemptId &attempt) override;
    void pause(const Node::AttemptId &attempt) override;
    void resume(const Node::AttemptId &attempt) override;
    void pollLoad(const Base::ServerId &server, const std::string &address) override;

private:
    explicit HttpBackendClient(EventRing &ring);

    void startSend(const Node::BackendRequest &request);
    void startCancel(const Node::AttemptId &attempt);
    void startPoll(const Base::ServerId &server, const std::string &address);
    void handleLoad(const Base::ServerId &server, const BufferedAnswer &answer);
    BackendTransfer *find(const Node::AttemptId &attempt);

    EventRing &m_ring;
    /// Running attempts; used on the loop's thread only.
    std::map<Node::AttemptId, BackendTransfer *> m_transfers;
    /// Servers whose load poll has no answer yet; used on the loop's thread only.
    std::set<Base::ServerId> m_pendingPolls;
    std::unique_ptr<TransferLoop> m_loop;
};

} // namespace Daemon
