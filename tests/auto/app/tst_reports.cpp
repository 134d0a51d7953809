#include "metrics/textregistry.h"
#include "nodemetrics.h"
#include "nodetraces.h"
#include "tracing/recordingtracer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>

using Json = nlohmann::json;

namespace {

/// A sink that stores lines as JSON.
class LineList final : public Tracing::LineSink
{
public:
    explicit LineList(std::vector<Json> &lines)
        : m_lines(&lines)
    {}
    void write(const std::string &line) override { m_lines->push_back(Json::parse(line)); }

private:
    std::vector<Json> *m_lines;
};

const Base::RequestKey key{Base::HostId("entry-1"), 5, 7};
const Base::TimePoint begin{std::chrono::hours(1)};

Node::HopRecord hop(Node::Hop what, int from, int to, const std::string &place)
{
    const Base::Milliseconds start(from);
    return {key,
            "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
            what,
            begin + start,
            begin + Base::Milliseconds(to),
            place,
            false};
}

/// Reports the hops of a request whose first attempt failed, in the order in which the node does.
void reportRetriedRequest(Node::NodeObserver &observer)
{
    observer.hopFinished(hop(Node::Hop::Queue, 0, 10, "entry-2"));
    Node::HopRecord failed = hop(Node::Hop::Backend, 10, 20, "model-1");
    failed.isFailed = true;
    observer.hopFinished(failed);
    observer.retried(key);
    observer.hopFinished(hop(Node::Hop::Queue, 20, 30, "entry-2"));
    observer.hopFinished(hop(Node::Hop::Backend, 30, 90, "model-2"));
    observer.hopFinished(hop(Node::Hop::Entry, 0, 90, "entry-1"));
    Node::RequestRecord record;
    record.request = key;
    record.customer = Base::CustomerId("dealer");
    record.workClass = Base::ClassId("chat");
    record.queueWait = Base::Milliseconds(30);
    record.firstPart = Base::Milliseconds(40);
    record.whole = Base::Milliseconds(90);
    record.units = 14;
    record.attempts = 2;
    observer.requestFinished(record);
}

} // namespace

TEST_CASE("The parent of each hop's span is the entry span, whose parent is the caller's span")
{
    std::vector<Json> lines;
    Base::SeededRandom random(3);
    {
        Tracing::SpanRecorder recorder(std::make_unique<LineList>(lines));
        const Tracing::RecordingTracer tracer(recorder, random);
        App::NodeTraces traces(tracer);
        reportRetriedRequest(traces);
        // The hops of a finished request must not be recorded again.
        traces.requestFinished({key, {}, {}, false, {}, {}, {}, {}, 0, 0});
    }
    REQUIRE(lines.size() == 5);
    const Json &entry = lines.front();
    CHECK(entry["name"] == "entry");
    CHECK(entry["parent"] == "b7ad6b7169203331");
    CHECK(entry["durationUs"] == 90000);
    CHECK(entry["tags"]["outcome"] == "answered");
    std::vector<std::string> places;
    for (std::size_t i = 1; i < lines.size(); ++i) {
        CHECK(lines[i]["trace"] == "0af7651916cd43dd8448eb211c80319c");
        CHECK(lines[i]["parent"] == entry["span"]);
        places.push_back(lines[i]["name"].get<std::string>() + "@"
                         + lines[i]["tags"]["place"].get<std::string>());
    }
    CHECK(places
          == std::vector<std::string>{"queue@entry-2", "backend@model-1", "queue@entry-2",
                                      "backend@model-2"});
    CHECK(lines[2]["tags"]["failed"] == true);
    CHECK_FALSE(lines[4]["tags"].contains("failed"));
}

TEST_CASE("Requests are counted by class, outcome and customer")
{
    Metrics::TextRegistry registry;
    auto metrics = App::NodeMetrics::create(registry);
    REQUIRE(metrics);
    reportRetriedRequest(**metrics);
    Node::RequestRecord refused;
    refused.isFailed = true;
    refused.failure = Node::FailureType::Overloaded;
    (*metrics)->requestFinished(refused);
    const std::string text = registry.text();
    for (const std::string line :
         {"lagoonmast_requests_total{class=\"chat\",outcome=\"answered\"} 1\n",
          "lagoonmast_requests_total{class=\"\",outcome=\"overloaded\"} 1\n",
          "lagoonmast_retries_total 1\n",
          "lagoonmast_service_units_total{customer=\"dealer\"} 14\n",
          "lagoonmast_failed_hops_total{hop=\"backend\",place=\"model-1\"} 1\n",
          "lagoonmast_first_part_seconds_count{class=\"chat\"} 1\n",
          "lagoonmast_queue_wait_seconds_bucket{class=\"chat\",le=\"0.05\"} 1\n",
          "lagoonmast_request_seconds_bucket{class=\"chat\",le=\"0.05\"} 0\n"})
        CHECK_THAT(text, Catch::Contains(line));
}
