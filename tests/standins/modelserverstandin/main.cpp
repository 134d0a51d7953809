#include "modelserverstandin/modelservice.h"

int main(int argc, char **argv)
{
    using StandIn::ModelService;
    return StandIn::runProgram(argc, argv, ModelService::optionSpecs(), ModelService::create);
}
