#include "metrics/metricsconstants.h"
#include "metrics/processcollector.h"
#include "metrics/textregistry.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <limits>
#include <sstream>
#include <thread>

using namespace Metrics;

namespace {

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
        lines.push_back(line);
    return lines;
}

/// Returns the value of the first label of \a line, unescaped as by a scraper.
std::string unescapedValue(const std::string &line)
{
    std::string value;
    for (std::size_t i = line.find('"') + 1; line.at(i) != '"'; ++i) {
        if (line[i] != '\\') {
            value += line[i];
            continue;
        }
        ++i;
        value += line.at(i) == 'n' ? '\n' : line.at(i);
    }
    return value;
}

} // namespace

TEST_CASE("The text contains the help, type and samples of each family")
{
    TextRegistry registry;
    auto requests = registry.counters({"requests_total", "Requests", {"class", "result"}});
    REQUIRE(requests);
    requests.value()->with({"chat", "good"}).increment();
    requests.value()->with({"chat", "good"}).increment(2);
    requests.value()->with({"bulk", "failed"}).increment(0.5);
    registry.gauges({"open_requests", "Open \\ now\n", {}}).value()->with({}).set(-3);
    auto waits = registry.histograms({"wait_seconds", "Waits", {"class"}}, {0.1, 1});
    REQUIRE(waits);
    for (const double wait : {0.1, 0.5, 7.0})
        waits.value()->with({"chat"}).observe(wait);
    CHECK(registry.text()
          == "# HELP open_requests Open \\\\ now\\n\n"
             "# TYPE open_requests gauge\n"
             "open_requests -3\n"
             "# HELP requests_total Requests\n"
             "# TYPE requests_total counter\n"
             "requests_total{class=\"bulk\",result=\"failed\"} 0.5\n"
             "requests_total{class=\"chat\",result=\"good\"} 3\n"
             "# HELP wait_seconds Waits\n"
             "# TYPE wait_seconds histogram\n"
             "wait_seconds_bucket{class=\"chat\",le=\"0.1\"} 1\n"
             "wait_seconds_bucket{class=\"chat\",le=\"1\"} 2\n"
             "wait_seconds_bucket{class=\"chat\",le=\"+Inf\"} 3\n"
             "wait_seconds_sum{class=\"chat\"} 7.6\n"
             "wait_seconds_count{class=\"chat\"} 3\n");
}

TEST_CASE("A label value cannot inject a line")
{
    // Guards against a class name with a quotation mark and a line feed that ends its own sample;
    // a scraper would then read the rest as a sample that the caller has made up.
    rc::prop("any value gives one line and is unescaped to itself", [](const std::string &value) {
        TextRegistry registry;
        registry.counters({"a_total", "A", {"v"}}).value()->with({value}).increment();
        const std::vector<std::string> lines = linesOf(registry.text());
        RC_ASSERT(lines.size() == 3U);
        RC_ASSERT(unescapedValue(lines[2]) == value);
    });
}

TEST_CASE("Names and buckets that the format does not allow are rejected")
{
    TextRegistry registry;
    for (const std::string name : {"", "1a", "a-b", "a b", "a\n"})
        CHECK_FALSE(registry.counters({name, "", {}}));
    for (const std::string label : {"", "a:b", "__a", "1"})
        CHECK_FALSE(registry.gauges({"good", "", {label}}));
    const double infinity = std::numeric_limits<double>::infinity();
    for (const std::vector<double> &bounds :
         std::vector<std::vector<double>>{{}, {1, 1}, {2, 1}, {infinity}, {std::nan("")}})
        CHECK_FALSE(registry.histograms({"h", "", {}}, bounds));
    CHECK_FALSE(registry.histograms({"h", "", {"le"}}, {1}));
}

TEST_CASE("A name belongs to one type and one set of labels")
{
    TextRegistry registry;
    const auto first = registry.counters({"a_total", "A", {"x"}});
    const auto second = registry.counters({"a_total", "A", {"x"}});
    CHECK(first.value() == second.value());
    CHECK_FALSE(registry.gauges({"a_total", "A", {"x"}}));
    CHECK_FALSE(registry.counters({"a_total", "A", {"y"}}));
}

TEST_CASE("A counter never decreases, and NaN is ignored")
{
    TextRegistry registry;
    Counter &counter = registry.counters({"a_total", "A", {}}).value()->with({});
    counter.increment(2);
    counter.increment(-1);
    counter.increment(std::nan(""));
    CHECK(counter.value() == 2);
    Histogram &histogram = registry.histograms({"h", "H", {}}, {1}).value()->with({});
    histogram.observe(std::nan(""));
    CHECK(registry.text().find("h_sum 0\nh_count 0\n") != std::string::npos);
}

TEST_CASE("A family with many label values has a bounded size")
{
    TextRegistry registry;
    auto *family = registry.counters({"a_total", "A", {"v"}}).value();
    for (std::size_t i = 0; i < maxFamilySize + 5; ++i)
        family->with({std::to_string(i)}).increment();
    CHECK(linesOf(registry.text()).size() == 2 + maxFamilySize + 1);
    CHECK(family->with({"made up"}).value() == 5);
    CHECK(family->with({"7"}).value() == 1);
}

TEST_CASE("No increment from several threads is lost")
{
    TextRegistry registry;
    auto *family = registry.counters({"a_total", "A", {"v"}}).value();
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&registry, family] {
            for (int n = 0; n < 5000; ++n)
                family->with({std::to_string(n % 997)}).increment();
            registry.text();
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    double sum = 0;
    for (int n = 0; n < 997; ++n)
        sum += family->with({std::to_string(n)}).value();
    CHECK(sum == 20000);
}

TEST_CASE("The memory, processor time and open files of the process are exported")
{
    TextRegistry registry;
    auto collector = ProcessCollector::create(registry);
    REQUIRE(collector);
    registry.addCollector(std::move(*collector));
    registry.text();
    CHECK(registry.gauges({"process_resident_memory_bytes", "", {}}).value()->with({}).value()
          > 100000);
    CHECK(registry.gauges({"process_open_fds", "", {}}).value()->with({}).value() >= 3);
    CHECK(registry.counters({"process_cpu_seconds_total", "", {}}).value()->with({}).value() > 0);
}
