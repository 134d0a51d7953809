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

/// A backend server as the users' hosts have them: a model server for requests with a prompt, a
/// plain application for all others. Events of a stream follow from the request's path alone.
class DeployedService final : public Service
{
public:
    static std::vector<OptionSpec> optionSpecs();
    static Base::Result<std::unique_ptr<Service>> create(const Options &options);

    HttpResponse handle(const HttpRequest &request) override;

private:
    explicit DeployedService(const Options &options);
    /// Writes down that the request runs.
    std::size_t begin(const HttpRequest &request);
    HttpResponse notRun(const HttpRequest &request, int status) const;
    HttpResponse plain(const HttpRequest &request, const FaultPlan &fault);
    HttpResponse stream(const HttpRequest &request, const FaultPlan &fault);
    void sign(const HttpRequest &request, HttpResponse &response) const;

    std::string m_id;
    std::chrono::milliseconds m_workTime;
    std::uint64_t m_events;
    bool m_isPrinting;
    Faults m_faults;
    Journal m_journal;
};

} // namespace StandIn
