#pragma once

#include "common/faults.h"
#include "common/program.h"
#include "platformstandin/hostboard.h"
#include "platformstandin/table.h"
#include "platformstandin/weightstore.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace StandIn {

/// The platform with its table, objects, host list and model weights, all in memory;
/// docs/PROTOCOLS.md describes its protocol.
class PlatformService final : public Service
{
public:
    static std::vector<OptionSpec> optionSpecs();
    static Base::Result<std::unique_ptr<Service>> create(const Options &options);

    HttpResponse handle(const HttpRequest &request) override;

private:
    explicit PlatformService(const Options &options);

    /// Counts the request and answers it with \a call, or with the fault that the plan names.
    HttpResponse withFaults(const HttpRequest &request,
                            HttpResponse (PlatformService::*call)(const HttpRequest &));
    HttpResponse table(const HttpRequest &request);
    HttpResponse transact(const HttpRequest &request);
    HttpResponse object(const HttpRequest &request);
    HttpResponse hosts(const HttpRequest &request);
    HttpResponse weights(const HttpRequest &request);
    HttpResponse counts() const;

    Table m_table;
    HostBoard m_hosts;
    WeightStore m_weights;
    Faults m_faults;
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_objects;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_hostReads = 0;
};

} // namespace StandIn
