#pragma once

#include "storage/tableservice.h"

#include <string>

namespace Storage {

enum class ObjectStatus {
    Done,    ///< The object was stored or read.
    Missing, ///< There is no object with this key.
    NotDone, ///< The call is known to have had no effect.
    Unknown, ///< There was no answer; a put may have taken effect.
};

/// The result of one call to the object store.
struct ObjectOutcome
{
    OperationId operation = 0;
    ObjectStatus status = ObjectStatus::Unknown;
    /// The object that a get has read.
    std::string value;
};

/// The platform's object store, for values too large for a table row. Calls are asynchronous: each
/// returns at once and is followed by an ObjectOutcome with its operation id.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual void put(OperationId operation, const std::string &key, const std::string &value) = 0;
    virtual void get(OperationId operation, const std::string &key) = 0;
};

} // namespace Storage
