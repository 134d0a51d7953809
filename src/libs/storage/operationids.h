#pragma once

#include "storage/tableservice.h"

namespace Storage {

/// Generates operation ids, starting at 1. All parts of one node that call the platform share one
/// generator; each gateway has another one for the attempts that it sends.
class OperationIds
{
public:
    OperationId next() { return ++m_last; }

private:
    OperationId m_last = 0;
};

} // namespace Storage
