#pragma once

#include <atomic>
#include <string>

namespace Daemon {

/// State of the process that several threads read.
struct ProcessState
{
    std::atomic<bool> isReady = false;
    std::atomic<bool> isLeaving = false;
    /// New work is refused: no caller's list of entry hosts names this host any more.
    std::atomic<bool> refusesWork = false;
};

/// Provides the text of /metrics. Called on any thread.
class MetricsPage
{
public:
    virtual ~MetricsPage() = default;
    virtual std::string text() = 0;
};

} // namespace Daemon
