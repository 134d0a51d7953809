#pragma once

#include "storage/tableservice.h"

namespace Storage {

/// Gives out operation ids to all parts of one node that call the platform.
class OperationIds
{
public:
    OperationId next() { return ++m_last; }

private:
    OperationId m_last = 0;
};

} // namespace Storage
