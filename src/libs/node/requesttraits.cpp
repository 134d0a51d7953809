#include "node/requesttraits.h"

#include "base/hash.h"
#include "node/nodeconstants.h"

#include <algorithm>

namespace Node {

Base::PoolId poolOf(const CallerRequest &asked)
{
    const char *prefix =
        asked.kind == WorkKind::ChatCompletion ? modelPoolPrefix : servicePoolPrefix;
    return Base::PoolId(prefix + asked.target);
}

Base::ServiceUnits expectedCost(const CallerRequest &asked)
{
    const std::uint64_t generated = asked.maxTokens == 0
                                        ? maxAssumedGeneratedTokens
                                        : std::min(asked.maxTokens, maxAssumedGeneratedTokens);
    return asked.promptTokens + generated * generatedTokenWeight;
}

std::uint64_t contentHash(const CallerRequest &asked)
{
    return Base::stableHash(asked.body, Base::stableHash(asked.target + asked.path));
}

} // namespace Node
