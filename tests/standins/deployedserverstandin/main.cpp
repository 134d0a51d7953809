#include "deployedserverstandin/deployedservice.h"

int main(int argc, char **argv)
{
    using StandIn::DeployedService;
    return StandIn::runProgram(argc, argv, DeployedService::optionSpecs(), DeployedService::create);
}
