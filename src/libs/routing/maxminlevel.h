#pragma once

#include "base/ids.h"

#include <map>

namespace Routing {

/// The max-min share of \a capacity: the level at which the sum of what each customer asks, but no
/// more than the level, is the capacity. Infinite if all that is asked fits.
double fairLevel(const std::map<Base::CustomerId, double> &asked, double capacity);

} // namespace Routing
