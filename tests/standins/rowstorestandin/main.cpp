#include "rowstorestandin/rowstoreservice.h"

int main(int argc, char **argv)
{
    using StandIn::RowStoreService;
    return StandIn::runProgram(argc, argv, RowStoreService::optionSpecs(), RowStoreService::create);
}
