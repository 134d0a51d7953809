#include "base/ids.h"

namespace Base {

std::string toString(const RequestKey &key)
{
    return key.entry.value() + '-' + std::to_string(key.incarnation) + '-'
           + std::to_string(key.serial);
}

} // namespace Base
