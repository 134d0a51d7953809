#include "caller.h"
#include "common/options.h"
#include "processusage.h"

#include <cstdio>
#include <thread>
#include <vector>

namespace {

using StandIn::Options;

std::vector<StandIn::OptionSpec> optionSpecs()
{
    return {{"pid", "", "id of the process whose usage is measured"},
            {"path", "/read/x", "path of the requests"},
            {"stream", "false", "whether the requests are streams"},
            {"callers", "40", "concurrent callers; 0 measures an idle process"},
            {"seconds", "10", "length of the measurement"}};
}

/// Runs the callers and prints what they received and what the process used meanwhile.
void measure(const Options &options, const LoadPlan &plan)
{
    LoadCounts counts;
    std::atomic<bool> isStopped = false;
    const ProcessUsage before = usageOf(options.text("pid"));
    std::vector<std::thread> threads;
    for (std::int64_t i = 0; i < options.number("callers"); ++i)
        threads.emplace_back(
            [&, i] { runCaller(plan, static_cast<std::uint64_t>(i), isStopped, counts); });
    std::uint64_t maxOpenStreams = 0;
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(options.number("seconds"));
    while (std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        maxOpenStreams = std::max(maxOpenStreams, counts.openStreams.load());
    }
    const ProcessUsage after = usageOf(options.text("pid"));
    const double seconds = static_cast<double>(options.number("seconds"));
    const double processorMs = static_cast<double>((after.processor - before.processor).count());
    const auto requests = static_cast<double>(counts.requests);
    std::printf("requests %.0f failures %llu events %llu open %llu\n", requests,
                static_cast<unsigned long long>(counts.failures),
                static_cast<unsigned long long>(counts.events),
                static_cast<unsigned long long>(maxOpenStreams));
    std::printf("processor %.2f%% of a core, %.1f us a request, peak %ld KB\n",
                processorMs / 10 / seconds, requests > 0 ? processorMs * 1000 / requests : 0.0,
                after.peakKilobytes);
    isStopped = true;
    for (std::thread &it : threads)
        it.join();
}

} // namespace

/// Sends load to the gateway at --address and prints the processor time and memory of the process
/// --pid.
int main(int argc, char **argv)
{
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<int> {
            BOOST_LEAF_AUTO(options, Options::parse(argc, argv, optionSpecs()));
            const std::string address = options.text("address");
            LoadPlan plan;
            plan.ip = address.substr(0, address.find(':'));
            plan.port =
                static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
            plan.path = options.text("path");
            plan.isStream = options.isSet("stream");
            measure(options, plan);
            return 0;
        },
        [](const StandIn::WrongUsage &it) {
            std::fprintf(stderr, "gatewayload: %s\n", it.text.c_str());
            return 2;
        },
        [] { return 1; });
}
