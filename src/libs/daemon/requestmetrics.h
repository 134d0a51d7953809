#pragma once

#include "base/result.h"
#include "metrics/registry.h"
#include "node/nodeobserver.h"

#include <memory>

namespace Daemon {

/// Counts and times the requests of this process: answers, refusals by reason, retries, and
/// for each class how long work waited and when its first token came.
class RequestMetrics final : public Node::NodeObserver
{
public:
    /// Fails as Metrics::Registry does.
    static Base::Result<std::unique_ptr<RequestMetrics>> create(Metrics::Registry &registry);

    void hopFinished(const Node::HopRecord &record) override;
    void requestFinished(const Node::RequestRecord &record) override;
    void retried(const Base::RequestKey &request) override;

private:
    struct Instruments
    {
        Metrics::Family<Metrics::Counter> *answered = nullptr;
        Metrics::Family<Metrics::Counter> *failed = nullptr;
        Metrics::Family<Metrics::Counter> *served = nullptr;
        Metrics::Counter *retries = nullptr;
        Metrics::Family<Metrics::Histogram> *queueWait = nullptr;
        Metrics::Family<Metrics::Histogram> *firstToken = nullptr;
    };

    explicit RequestMetrics(const Instruments &instruments);

    Instruments m_instruments;
};

} // namespace Daemon
