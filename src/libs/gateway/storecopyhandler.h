#pragma once

#include "gateway/answersink.h"
#include "gateway/storecopy.h"

namespace Gateway {

/// Hands this host's knowledge of the store to other hosts. Answers 503 while it has none that is
/// proved, and 404 for what is not asked between hosts.
class StoreCopyHandler final : public RequestHandler
{
public:
    /// \a source outlives the handler.
    explicit StoreCopyHandler(const StoreCopySource &source)
        : m_source(&source)
    {}

    std::shared_ptr<ActiveRequest> handle(CallerRequest request, AnswerSink &sink) override;

private:
    const StoreCopySource *m_source;
};

} // namespace Gateway
