#include "node/requesttraits.h"

#include "base/hash.h"
#include "node/nodeconstants.h"

#include <algorithm>

namespace Node {

Base::PoolId poolOf(const CallerRequest &callerRequest)
{
    const char *prefix =
        callerRequest.kind == WorkKind::ChatCompletion ? modelPoolPrefix : servicePoolPrefix;
    return Base::PoolId(prefix + callerRequest.target);
}

Base::ServiceUnits expectedCost(const CallerRequest &callerRequest)
{
    const std::uint64_t generated =
        callerRequest.maxTokens == 0 ? maxAssumedGeneratedTokens
                                     : std::min(callerRequest.maxTokens, maxAssumedGeneratedTokens);
    return callerRequest.promptTokens + generated * generatedTokenWeight;
}

std::uint64_t contentHash(const CallerRequest &callerRequest)
{
    return Base::stableHash(callerRequest.body,
                            Base::stableHash(callerRequest.target + callerRequest.path));
}

} // namespace Node
