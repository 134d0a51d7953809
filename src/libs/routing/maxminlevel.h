#pragma once

#include "base/ids.h"

#include <map>

namespace Routing {

/// Returns the max-min share of \a capacity: the level at which the amounts that customers asked
/// for, each limited to the level, add up to the capacity. The result is infinite if the capacity
/// covers all amounts.
double maxMinLevel(const std::map<Base::CustomerId, double> &asked, double capacity);

} // namespace Routing
