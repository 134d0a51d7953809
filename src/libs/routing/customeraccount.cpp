#include "routing/customeraccount.h"

#include <string>
#include <vector>

namespace Routing {

namespace {

/// Separates the customer from its regions, and the regions from each other. It cannot be part of
/// a name, because names are values of header fields.
constexpr char separator = '\n';

} // namespace

Base::CustomerId accountOf(const Base::CustomerId &customer, const Residency &residency)
{
    if (!residency.isRestricted())
        return customer;
    std::string account = customer.value() + separator;
    for (const Base::RegionId &it : residency.regions())
        account.append(it.value()).append(1, separator);
    return Base::CustomerId(account);
}

Base::CustomerId customerOf(const Base::CustomerId &account)
{
    const std::string &text = account.value();
    const std::size_t end = text.find(separator);
    return end == std::string::npos ? account : Base::CustomerId(text.substr(0, end));
}

Residency residencyOf(const Base::CustomerId &account)
{
    const std::string &text = account.value();
    std::vector<Base::RegionId> regions;
    std::size_t at = text.find(separator);
    while (at != std::string::npos && at + 1 < text.size()) {
        const std::size_t end = text.find(separator, at + 1);
        regions.emplace_back(text.substr(at + 1, end - at - 1));
        at = end;
    }
    return Residency::of(regions);
}

std::map<Base::CustomerId, double> byCustomer(const std::map<Base::CustomerId, double> &byAccount)
{
    std::map<Base::CustomerId, double> sums;
    for (const auto &[account, amount] : byAccount)
        sums[customerOf(account)] += amount;
    return sums;
}

} // namespace Routing
