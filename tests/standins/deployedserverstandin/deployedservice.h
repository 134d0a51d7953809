#pragma once

#include "common/faults.h"
#include "common/journal.h"
#include "common/program.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace StandIn {

/// A backend server as a deployment of the gateway has it: a model server for requests with the
/// header Token-Count, an application server for all others. The events of a stream depend on the
/// request's path only.
class DeployedService final : public Service
{
public:
    static std::vector<OptionSpec> optionSpecs();
    static Base::Result<std::unique_ptr<Service>> create(const Options &options);

    HttpResponse handle(const HttpRequest &request) override;

private:
    explicit DeployedService(const Options &options);
    /// Records in the journal that the request runs; returns its entry.
    std::size_t begin(const HttpRequest &request);
    /// The answer of the server that the request names.
    HttpResponse answer(const HttpRequest &request, const FaultPlan &fault);
    /// An answer that says that the request has not run.
    HttpResponse notRun(const HttpRequest &request, int status) const;
    HttpResponse plain(const HttpRequest &request, const FaultPlan &fault);
    HttpResponse stream(const HttpRequest &request, const FaultPlan &fault);
    /// An answer whose head is sent before the process ends.
    HttpResponse ending(const HttpRequest &request);
    /// Adds the headers that prove which request and which server the answer belongs to.
    void sign(const HttpRequest &request, HttpResponse &response) const;

    std::string m_id;
    std::chrono::milliseconds m_workTime;
    std::uint64_t m_events;
    bool m_tellsLoad = false;
    std::string m_exitPath;
    std::string m_exitPart;
    bool m_isPrintingRuns;
    Faults m_faults;
    Journal m_journal;
};

} // namespace StandIn
