#pragma once

#include "common/faults.h"
#include "common/program.h"
#include "rowstorestandin/rowstore.h"

#include <atomic>
#include <memory>
#include <vector>

namespace StandIn {

/// The store of rows that the users' hosts are given, in memory.
class RowStoreService final : public Service
{
public:
    static std::vector<OptionSpec> optionSpecs();
    static Base::Result<std::unique_ptr<Service>> create(const Options &options);

    HttpResponse handle(const HttpRequest &request) override;

private:
    /// The answer that a fault gives in the call's place; empty if there is none.
    std::optional<HttpResponse> faulty(const HttpRequest &request, const FaultPlan &fault) const;
    HttpResponse rows(const HttpRequest &request) const;
    HttpResponse feed(const HttpRequest &request) const;
    HttpResponse transact(const HttpRequest &request);
    /// A row written by the operator or by a server: {"table","key","value"}, the value as JSON,
    /// or null to remove it.
    HttpResponse put(const HttpRequest &request);

    RowStore m_store;
    Faults m_faults;
    std::atomic<std::uint64_t> m_calls = 0;
};

} // namespace StandIn
