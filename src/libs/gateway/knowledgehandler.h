#pragma once

#include "gateway/answersink.h"
#include "gateway/knowledgecopy.h"

namespace Gateway {

/// Hands this host's knowledge of the store to other hosts. Answers 503 while it has none that is
/// proved, and 404 for what is not asked between hosts.
class KnowledgeHandler final : public RequestHandler
{
public:
    /// \a source outlives the handler.
    explicit KnowledgeHandler(const KnowledgeSource &source)
        : m_source(&source)
    {}

    std::shared_ptr<ActiveRequest> handle(CallerRequest request, AnswerSink &sink) override;

private:
    const KnowledgeSource *m_source;
};

} // namespace Gateway
