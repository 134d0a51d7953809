#pragma once

#include "node/nodeobserver.h"

#include <string>

namespace Daemon {

/// Sets up logging to standard error, one line per message with time and level. \a level is one of
/// the levels of DaemonSettings.
void startLogging(const std::string &level);

/// Logs a line for each finished request with its id, customer, class and outcome, and a line for
/// each retry. Keys and bodies are never logged.
class RequestLog final : public Node::NodeObserver
{
public:
    void hopFinished(const Node::HopRecord &record) override;
    void requestFinished(const Node::RequestRecord &record) override;
    void retried(const Base::RequestKey &request) override;
};

} // namespace Daemon
