#include "gateway/storecopyhandler.h"

#include <string>

namespace Gateway {

namespace {

void answer(AnswerSink &sink, Http::status status, const std::string &body)
{
    ResponseHead head;
    head.result(status);
    sink.sendAnswer(head, body);
}

std::optional<StoreData> dataAt(const std::string &path)
{
    for (const StoreData what : {StoreData::Configuration, StoreData::Servers}) {
        if (path == copyPath(what))
            return what;
    }
    return std::nullopt;
}

} // namespace

std::shared_ptr<ActiveRequest> StoreCopyHandler::handle(CallerRequest request, AnswerSink &sink)
{
    const std::optional<StoreData> what = dataAt(std::string(request.message.target()));
    if (!what)
        answer(sink, Http::status::not_found, {});
    else if (const std::optional<StoreCopy> copy = m_source->copyOf(*what))
        answer(sink, Http::status::ok, encodeCopy(*copy));
    else
        answer(sink, Http::status::service_unavailable, {});
    return nullptr;
}

} // namespace Gateway
