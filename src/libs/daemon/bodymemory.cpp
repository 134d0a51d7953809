#include "daemon/bodymemory.h"

#include "daemon/daemonconstants.h"

#include <microhttpd.h>
#include <orcania.h>

#include <sys/socket.h>

#include <cstdlib>

namespace Daemon {

namespace {

/// Blocks of the HTTP library up to this size are no bodies, or small ones. Larger ones are
/// reserved in multiples of it.
constexpr std::size_t blockBytes = 16384;

/// A request while its thread reads it.
class ReadRequest final : public Base::MemoryHolder
{
public:
    void begin(Base::MemoryBudget &budget, std::size_t maxBodyBytes, MHD_Connection *connection)
    {
        const MHD_ConnectionInfo *info =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        m_socket = info ? static_cast<int>(info->connect_fd) : -1;
        m_maxBodyBytes = maxBodyBytes;
        m_connection = connection;
        m_excessPieces = 0;
        m_isAnnouncedChecked = false;
        m_isWhole = false;
        m_reservation = {budget, *this, Base::Clock::now()};
    }
    void end()
    {
        m_reservation = {};
        m_connection = nullptr;
    }
    /// Whether the body may grow to \a bytes.
    bool grow(std::size_t bytes)
    {
        if (!m_connection || m_isWhole || bytes <= blockBytes)
            return true;
        if (bytes > m_maxBodyBytes && ++m_excessPieces > maxExcessPieces)
            return false;
        if (!m_isAnnouncedChecked) {
            m_isAnnouncedChecked = true;
            if (announcedBytes() / 2 > m_maxBodyBytes)
                return false;
        }
        const std::size_t rounded = (bytes + blockBytes - 1) / blockBytes * blockBytes;
        return rounded == m_reservation.bytes()
               || m_reservation.resize(rounded, Base::Clock::now());
    }
    bool keep(std::size_t bytes)
    {
        m_isWhole = true;
        m_reservation.keep();
        return m_reservation.resize(bytes, Base::Clock::now());
    }
    bool giveWay() override
    {
        // The thread finds its connection closed, and frees the body.
        shutdown(m_socket, SHUT_RDWR);
        return false;
    }

private:
    std::uint64_t announcedBytes() const
    {
        const char *value =
            MHD_lookup_connection_value(m_connection, MHD_HEADER_KIND, "Content-Length");
        return value ? std::strtoull(value, nullptr, 10) : 0;
    }

    Base::MemoryBudget::Reservation m_reservation;
    MHD_Connection *m_connection = nullptr;
    std::size_t m_maxBodyBytes = 0;
    int m_socket = -1;
    int m_excessPieces = 0;
    bool m_isAnnouncedChecked = false;
    bool m_isWhole = false;
};

thread_local ReadRequest currentRequest;

void *reallocate(void *block, std::size_t bytes)
{
    if (currentRequest.grow(bytes))
        return std::realloc(block, bytes);
    // The library drops the pointer to a block that cannot grow.
    std::free(block);
    return nullptr;
}

} // namespace

void BodyMemory::install()
{
    o_set_alloc_funcs(&std::malloc, &reallocate, &std::free);
}

void BodyMemory::begin(Base::MemoryBudget &budget, std::size_t maxBodyBytes,
                       MHD_Connection *connection)
{
    currentRequest.begin(budget, maxBodyBytes, connection);
}

bool BodyMemory::keep(std::size_t bytes)
{
    return currentRequest.keep(bytes);
}

void BodyMemory::end()
{
    currentRequest.end();
}

} // namespace Daemon
