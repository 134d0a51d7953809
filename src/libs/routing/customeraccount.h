#pragma once

#include "base/ids.h"
#include "routing/residency.h"

#include <map>

namespace Routing {

/// The key of the sums of one customer's requests that may be handled in the same regions. It is
/// the customer itself for requests that may be handled anywhere. Hosts exchange sums by these
/// keys.
Base::CustomerId accountOf(const Base::CustomerId &customer, const Residency &residency);

/// Returns the customer of \a account.
Base::CustomerId customerOf(const Base::CustomerId &account);
/// Returns the regions of \a account.
Residency residencyOf(const Base::CustomerId &account);

/// Returns \a byAccount summed up for each customer.
std::map<Base::CustomerId, double> byCustomer(const std::map<Base::CustomerId, double> &byAccount);

} // namespace Routing
