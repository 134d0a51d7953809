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

template <typename Copy, typename Encode>
void answerCopy(AnswerSink &sink, const std::optional<Copy> &copy, Encode encode)
{
    if (copy)
        answer(sink, Http::status::ok, encode(*copy));
    else
        answer(sink, Http::status::service_unavailable, {});
}

} // namespace

std::shared_ptr<ActiveRequest> StoreCopyHandler::handle(CallerRequest request, AnswerSink &sink)
{
    const std::string path(request.message.target());
    if (path == pathOf(StoreData::Configuration))
        answerCopy(sink, m_source->configurationCopy(), encodeCopy);
    else if (path == pathOf(StoreData::Servers))
        answerCopy(sink, m_source->serversCopy(), encodeReport);
    else
        answer(sink, Http::status::not_found, {});
    return nullptr;
}

} // namespace Gateway
