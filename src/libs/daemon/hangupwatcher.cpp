#include "daemon/hangupwatcher.h"

#include <array>
#include <cerrno>
#include <cstdint>
#include <utility>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace Daemon {

namespace {

/// Identifies the wake-up descriptor; the ids of callers start at 1.
constexpr Node::CallerId stopId = 0;

} // namespace

Base::Result<std::unique_ptr<HangupWatcher>> HangupWatcher::create(Handler handler)
{
    const int epollFd = epoll_create1(EPOLL_CLOEXEC);
    if (epollFd < 0)
        return boost::leaf::new_error(WatcherUnavailable{errno});
    const int wakeFd = eventfd(0, EFD_CLOEXEC);
    if (wakeFd < 0) {
        const int error = errno;
        ::close(epollFd);
        return boost::leaf::new_error(WatcherUnavailable{error});
    }
    return std::unique_ptr<HangupWatcher>(new HangupWatcher(epollFd, wakeFd, std::move(handler)));
}

HangupWatcher::HangupWatcher(int epollFd, int wakeFd, Handler handler)
    : m_epollFd(epollFd)
    , m_wakeFd(wakeFd)
    , m_handler(std::move(handler))
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = stopId;
    epoll_ctl(m_epollFd, EPOLL_CTL_ADD, m_wakeFd, &event);
    m_thread = std::thread([this] { run(); });
}

HangupWatcher::~HangupWatcher()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(m_wakeFd, &one, sizeof one);
    m_thread.join();
    ::close(m_wakeFd);
    ::close(m_epollFd);
}

void HangupWatcher::watch(int socket, Node::CallerId caller)
{
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = caller;
    epoll_ctl(m_epollFd, EPOLL_CTL_ADD, socket, &event);
}

void HangupWatcher::unwatch(int socket)
{
    epoll_ctl(m_epollFd, EPOLL_CTL_DEL, socket, nullptr);
}

void HangupWatcher::run()
{
    std::array<epoll_event, 64> events{};
    while (true) {
        const int n = epoll_wait(m_epollFd, events.data(), events.size(), -1);
        for (int i = 0; i < n; ++i) {
            if (events[i].data.u64 == stopId)
                return;
            m_handler(events[i].data.u64);
        }
    }
}

} // namespace Daemon
