#include "daemon/hoptrace.h"
#include "daemon/requestmetrics.h"
#include "metrics/textregistry.h"
#include "tracing/recordingtracer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>

using Json = nlohmann::json;

namespace {

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

/// The hops of a request whose first attempt failed, in the order in which the node tells them.
void playRetriedRequest(Node::NodeObserver &observer)
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

TEST_CASE("Each hop is a span below the entry's, and the entry's is below the caller's")
{
    std::vector<Json> lines;
    Base::SeededRandom random(3);
    {
        Tracing::SpanRecorder recorder(std::make_unique<LineList>(lines));
        const Tracing::RecordingTracer tracer(recorder, random);
        Daemon::HopTrace traces(tracer);
        playRetriedRequest(traces);
    }
    REQUIRE(lines.size() == 5);
    const Json &entry = lines.back();
    CHECK(entry["name"] == "entry");
    CHECK(entry["parent"] == "b7ad6b7169203331");
    CHECK(entry["durationUs"] == 90000);
    std::vector<std::string> places;
    for (std::size_t i = 0; i + 1 < lines.size(); ++i) {
        CHECK(lines[i]["trace"] == "0af7651916cd43dd8448eb211c80319c");
        CHECK(lines[i]["parent"] == entry["span"]);
        places.push_back(lines[i]["name"].get<std::string>() + "@"
                         + lines[i]["tags"]["place"].get<std::string>());
    }
    CHECK(places
          == std::vector<std::string>{"queue@entry-2", "backend@model-1", "queue@entry-2",
                                      "backend@model-2"});
    CHECK(lines[1]["tags"]["failed"] == true);
    CHECK(lines[3]["tags"]["failed"] == false);
}

TEST_CASE("A request shows in the metrics by class, outcome and customer")
{
    Metrics::TextRegistry registry;
    auto metrics = Daemon::RequestMetrics::create(registry);
    REQUIRE(metrics);
    playRetriedRequest(**metrics);
    Node::RequestRecord refused;
    refused.isFailed = true;
    refused.failure = Node::FailureType::Overloaded;
    (*metrics)->requestFinished(refused);
    const std::string text = registry.text();
    for (const std::string line :
         {"lagoonmast_requests_answered_total{class=\"chat\"} 1\n",
          "lagoonmast_requests_failed_total{class=\"\",reason=\"overloaded\"} 1\n",
          "lagoonmast_retries_total 1\n",
          "lagoonmast_service_units_total{customer=\"dealer\"} 14\n",
          "lagoonmast_first_token_seconds_count{class=\"chat\"} 1\n",
          "lagoonmast_queue_wait_seconds_bucket{class=\"chat\",le=\"0.025\"} 0\n",
          "lagoonmast_queue_wait_seconds_bucket{class=\"chat\",le=\"0.05\"} 1\n"})
        CHECK_THAT(text, Catch::Contains(line));
}
