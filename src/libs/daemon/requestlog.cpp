#include "daemon/requestlog.h"

#include "daemon/failuretext.h"

#include <memory>

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace Daemon {

namespace {

log4cplus::Logger requestLogger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("request"));
}

std::int64_t milliseconds(Base::Duration duration)
{
    return std::chrono::duration_cast<Base::Milliseconds>(duration).count();
}

} // namespace

void startLogging(const std::string &level)
{
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q} %p %c %m%n")));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    std::string upper = level;
    for (char &it : upper)
        it = static_cast<char>(std::toupper(static_cast<unsigned char>(it)));
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(upper));
}

void RequestLog::hopFinished(const Node::HopRecord &) {}

void RequestLog::requestFinished(const Node::RequestRecord &record)
{
    LOG4CPLUS_INFO(requestLogger(),
                   "id=" << Base::toString(record.request) << " customer="
                         << record.customer.value() << " class=" << record.workClass.value()
                         << " outcome=" << (record.isFailed ? typeName(record.failure) : "answered")
                         << " waitMs=" << milliseconds(record.queueWait)
                         << " firstMs=" << milliseconds(record.firstPart)
                         << " wholeMs=" << milliseconds(record.whole) << " units=" << record.units
                         << " attempts=" << record.attempts);
}

void RequestLog::retried(const Base::RequestKey &request)
{
    LOG4CPLUS_INFO(requestLogger(), "id=" << Base::toString(request) << " retried");
}

} // namespace Daemon
