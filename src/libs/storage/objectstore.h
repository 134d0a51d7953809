#pragma once

#include "storage/tableservice.h"

#include <string>

namespace Storage {

enum class ObjectStatus {
    Done,
    Missing,
    NotDone, ///< Nothing was stored.
    Unknown, ///< No answer; a put may have taken effect.
};

struct ObjectOutcome
{
    OperationId operation = 0;
    ObjectStatus status = ObjectStatus::Unknown;
    std::string value;
};

/// The platform's object store, for values too large for a table row.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual void put(OperationId operation, const std::string &key, const std::string &value) = 0;
    virtual void get(OperationId operation, const std::string &key) = 0;
};

} // namespace Storage
