#include "program.h"
#include "serve.h"

#include <iostream>

int main(int argc, char **argv)
{
    App::Program program(std::cout, std::cerr, serve);
    return program.run({argv + 1, argv + argc});
}
