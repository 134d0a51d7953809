#include "routing/exponentialbackoff.h"

#include <catch2/catch.hpp>

using namespace Routing;
using std::chrono::milliseconds;

TEST_CASE("pauses between failures double up to a maximum and start again after a success",
          "[routing]")
{
    // Guards against a constant pause after failures. While the store is down for five seconds and
    // refuses at once, sixty hosts would call it four times per second on each of two connections.
    ExponentialBackoff pause(milliseconds(250), milliseconds(1000));
    CHECK(pause.next() == milliseconds(250));
    CHECK(pause.next() == milliseconds(500));
    CHECK(pause.next() == milliseconds(1000));
    CHECK(pause.next() == milliseconds(1000));
    CHECK(pause.next(milliseconds(300)) == milliseconds(300));
    pause.reset();
    CHECK(pause.next() == milliseconds(250));
    int calls = 0;
    pause.reset();
    for (Base::Duration at{}; at < milliseconds(5000); at += pause.next())
        ++calls;
    CHECK(calls <= 8);
}
