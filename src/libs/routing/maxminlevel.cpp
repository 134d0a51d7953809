#include "routing/maxminlevel.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace Routing {

double maxMinLevel(const std::map<Base::CustomerId, double> &asked, double capacity)
{
    std::vector<double> amounts;
    amounts.reserve(asked.size());
    for (const auto &[customer, amount] : asked)
        amounts.push_back(amount);
    std::sort(amounts.begin(), amounts.end());
    double left = capacity;
    for (std::size_t i = 0; i < amounts.size(); ++i) {
        const double even = left / static_cast<double>(amounts.size() - i);
        if (amounts[i] > even)
            return even;
        left -= amounts[i];
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace Routing
