#include "platformstandin/platformservice.h"

int main(int argc, char **argv)
{
    using StandIn::PlatformService;
    return StandIn::runProgram(argc, argv, PlatformService::optionSpecs(), PlatformService::create);
}
