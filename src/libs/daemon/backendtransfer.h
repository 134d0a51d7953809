#pragma once

#include "daemon/eventring.h"
#include "daemon/httptransfer.h"
#include "daemon/sseparser.h"
#include "node/backendclient.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Daemon {

/// One attempt at a backend server: sends the request and turns the answer into events for the
/// node.
///
/// The head of the answer is pushed together with its first part. Until then nothing has reached
/// the caller, and the node may still try another server.
class BackendTransfer final : public HttpTransfer
{
public:
    using FinishedHandler = std::function<void(const BackendTransfer &)>;

    /// Calls \a handler when the transfer ends by itself, that is, without being dropped.
    BackendTransfer(const Node::BackendRequest &request, EventRing &ring, FinishedHandler handler);

    const Node::AttemptId &attempt() const { return m_attempt; }
    const std::string &address() const { return m_address; }
    /// Returns the name by which the stream can be cancelled; empty while it is unknown.
    const std::string &streamName() const { return m_head.streamName; }

    /// Stops reading the answer; no idle timeout applies until resume().
    void pause();
    void resume();

private:
    void finished(CURLcode code) override;
    void receiveHeader(std::string_view name, std::string_view value) override;
    bool receiveBody(std::string_view bytes) override;
    bool receiveEvents(std::string_view bytes);
    bool receiveEvent(const SseEvent &event);
    bool isErrorAnswer() const;
    void pushHead();
    void pushPart(std::uint64_t index, std::string payload, Base::ServiceUnits units);
    void pushFinished();
    void pushFailed();
    void extendDeadline();

    EventRing &m_ring;
    FinishedHandler m_handler;
    Node::AttemptId m_attempt;
    Node::WorkKind m_kind;
    std::string m_address;
    Node::BackendHead m_head;
    SseParser m_parser;
    std::uint64_t m_nextIndex = 0;
    /// Bytes of the body that were read and not used.
    std::size_t m_unusedBytes = 0;
    std::optional<Base::Milliseconds> m_retryAfter;
    bool m_isNotRun = false;
    bool m_isHeadPushed = false;
    bool m_isOutcomePushed = false;
    bool m_isPaused = false;
};

} // namespace Daemon
