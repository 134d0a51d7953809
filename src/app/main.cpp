#include "program.h"
#include "serve.h"
#include "servegateway.h"

#include <iostream>

int main(int argc, char **argv)
{
    App::Program program(std::cout, std::cerr, serve, serveGateway);
    return program.run({argv + 1, argv + argc});
}
