#pragma once

#include "base/memorybudget.h"

#include <cstddef>

struct MHD_Connection;

namespace Daemon {

/// The memory of the request that the calling thread reads. Each connection has its own thread.
///
/// The HTTP library keeps the body of a request in a block that grows, and has no callback before
/// the body is whole. Its allocation functions can be replaced: growing the block reserves memory,
/// and fails if there is none, or if the body is far beyond its limit. The library then closes the
/// connection.
class BodyMemory
{
public:
    /// Replaces the allocation functions of the HTTP library.
    static void install();
    /// Begins a request on \a connection, whose body may have \a maxBodyBytes.
    static void begin(Base::MemoryBudget &budget, std::size_t maxBodyBytes,
                      MHD_Connection *connection);
    /// Reserves \a bytes for the request, which is whole, until end(). Returns false if there is no
    /// memory for it.
    static bool keep(std::size_t bytes);
    static void end();
};

} // namespace Daemon
