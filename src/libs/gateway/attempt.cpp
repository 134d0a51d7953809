#include "gateway/attempt.h"

#include <algorithm>

namespace Gateway {

bool Attempt::appendBody(std::string_view data, Base::MemoryBudget &budget, Base::TimePoint now)
{
    const std::size_t needed = body.text.size() + data.size();
    if (needed > body.text.capacity()) {
        if (body.memory.isEmpty())
            body.memory = {budget, *this, now};
        const std::size_t grown = std::min(2 * needed, std::max(needed, maxAnswerBodyBytes));
        if (!body.memory.resize(grown, now))
            return false;
        body.text.reserve(grown);
    }
    body.text.append(data);
    return !m_hasGivenWay;
}

} // namespace Gateway
