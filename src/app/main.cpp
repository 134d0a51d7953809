#include "program.h"
#include "serve.h"
#include "servegateway.h"

#include <malloc.h>

#include <iostream>

namespace {

/// Freed blocks of this size and more return to the operating system at once. By default the
/// allocator raises the size with the blocks that are freed, and keeps the memory of large bodies.
constexpr int returnedBlockBytes = 65536;

} // namespace

int main(int argc, char **argv)
{
    mallopt(M_MMAP_THRESHOLD, returnedBlockBytes);
    App::Program program(std::cout, std::cerr, serve, serveGateway);
    return program.run({argv + 1, argv + argc});
}
