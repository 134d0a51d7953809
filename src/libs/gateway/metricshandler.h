#pragma once

#include "gateway/answersink.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace Gateway {

/// Serves the metrics page at /metrics; answers 404 for other paths.
class MetricsHandler final : public RequestHandler
{
public:
    /// \a text returns the page's content and is called for each request.
    explicit MetricsHandler(std::function<std::string()> text)
        : m_text(std::move(text))
    {}

    std::shared_ptr<ActiveRequest> handle(CallerRequest request, AnswerSink &sink) override
    {
        ResponseHead head;
        const bool isKnown = request.message.target() == "/metrics";
        head.result(isKnown ? Http::status::ok : Http::status::not_found);
        head.set(Http::field::content_type, "text/plain; version=0.0.4");
        sink.sendAnswer(head, isKnown ? m_text() : std::string());
        return nullptr;
    }

private:
    std::function<std::string()> m_text;
};

} // namespace Gateway
