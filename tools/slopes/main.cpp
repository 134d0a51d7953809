#include "slopes/measurements.h"

#include <getopt.h>

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    std::uint64_t seed = 1;
    bool isCsv = false;
    const option known[] = {{"seed", required_argument, nullptr, 'r'},
                            {"csv", no_argument, nullptr, 'c'},
                            {nullptr, 0, nullptr, 0}};
    for (int ch = 0; (ch = getopt_long(argc, argv, "", known, nullptr)) != -1;) {
        if (ch == 'r') {
            seed = std::strtoull(optarg, nullptr, 10);
        } else if (ch == 'c') {
            isCsv = true;
        } else {
            std::cerr << "usage: slopes [--seed N] [--csv]\n";
            return 2;
        }
    }
    const Slopes::Report report(isCsv);
    report.begin();
    Slopes::measureHeartbeats(report, seed);
    Slopes::measureLedger(report);
    Slopes::measureConfiguration(report);
    Slopes::measureHomeOrder(report);
    Slopes::measureHome(report, seed);
    Slopes::measureEntry(report);
    Slopes::measureFleet(report, seed);
    return 0;
}
