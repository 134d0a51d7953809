#pragma once

#include <atomic>
#include <string>

namespace Daemon {

/// What the core's thread tells the others about the node.
struct ProcessState
{
    std::atomic<bool> isReady = false;
    std::atomic<bool> isLeaving = false;
};

/// Gives the text of /metrics. Called on any thread.
class MetricsPage
{
public:
    virtual ~MetricsPage() = default;
    virtual std::string text() = 0;
};

} // namespace Daemon
