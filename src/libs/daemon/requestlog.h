#pragma once

#include "node/nodeobserver.h"

#include <string>

namespace Daemon {

/// Sets up logging to standard error: one line each with time and level.
void startLogging(const std::string &level);

/// Writes a line for each request: its id, customer, class and outcome; never a key or a body.
class RequestLog final : public Node::NodeObserver
{
public:
    void hopFinished(const Node::HopRecord &record) override;
    void requestFinished(const Node::RequestRecord &record) override;
    void retried(const Base::RequestKey &request) override;
};

} // namespace Daemon
