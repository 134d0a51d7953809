#include "virtualfleet/work.h"

#include "node/nodeconstants.h"

#include <sstream>

namespace VirtualFleet {

Base::ServiceUnits Work::units() const
{
    return promptTokens + Base::ServiceUnits{generatedTokens} * Node::generatedTokenWeight;
}

std::string encodeWork(const Work &work)
{
    std::ostringstream text;
    text << work.customer.value() << ' ' << work.promptTokens << ' ' << work.generatedTokens << ' '
         << work.serial;
    return text.str();
}

Work decodeWork(const std::string &body)
{
    std::istringstream text(body);
    std::string customer;
    Work work;
    text >> customer >> work.promptTokens >> work.generatedTokens >> work.serial;
    work.customer = Base::CustomerId(customer);
    return work;
}

} // namespace VirtualFleet
