#include "appserverstandin/appservice.h"

int main(int argc, char **argv)
{
    using StandIn::AppService;
    return StandIn::runProgram(argc, argv, AppService::optionSpecs(), AppService::create);
}
