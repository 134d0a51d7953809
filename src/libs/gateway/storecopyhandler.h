#pragma once

#include "gateway/answersink.h"
#include "gateway/storecopy.h"

namespace Gateway {

/// Serves copies of this host's store data to other hosts. Answers 503 while this host has no
/// recently confirmed data, and 404 for unknown paths.
class StoreCopyHandler final : public RequestHandler
{
public:
    /// \a source must outlive the handler.
    explicit StoreCopyHandler(StoreCopySource &source)
        : m_source(&source)
    {}

    std::shared_ptr<ActiveRequest> handle(CallerRequest request, AnswerSink &sink) override;

private:
    StoreCopySource *m_source;
};

} // namespace Gateway
