#pragma once

#include "claims/claimregistry.h"
#include "claims/claimsweeper.h"
#include "coordination/configurationreplica.h"
#include "coordination/membership.h"
#include "coordination/serviceledger.h"
#include "coordination/trafficmeter.h"
#include "node/homemonitor.h"
#include "scheduling/admissionpolicy.h"
#include "scheduling/concurrencylimiter.h"
#include "scheduling/fairqueue.h"
#include "scheduling/retrybudget.h"
#include "scheduling/retrypolicy.h"
#include "scheduling/shardselector.h"
#include "storage/tablegateway.h"

#include <chrono>
#include <cstdint>

namespace Node {

/// Settings of one node. The defaults are the production values; docs/design/ holds their
/// derivations.
struct NodeSettings
{
    Coordination::RouterIdentity self;
    Coordination::MembershipPolicy membership;
    Coordination::LedgerPolicy ledger;
    Coordination::TrafficBudget traffic;
    Coordination::ConfigurationPolicy configuration;
    Scheduling::FairQueuePolicy queue;
    Scheduling::AdmissionLimits admission;
    Scheduling::ConcurrencyLimits concurrency;
    Scheduling::RetryBudgetPolicy retries;
    Claims::ClaimPolicy claims;
    Claims::SweepPolicy sweep;
    HomeMonitorPolicy homeMonitor;
    Storage::TableGatewayPolicy table;
    Scheduling::RetryPolicyLimits retryPolicy;
    Scheduling::ShardSelectorPolicy shardSelector;

    /// How long callers may keep a list of entry hosts.
    std::chrono::seconds entryListMaxAge{10};
    Base::Duration loadPollInterval = std::chrono::milliseconds(500);
    Base::Duration ledgerInterval = std::chrono::milliseconds(500);
    /// While a stream runs, the entry host reports its service to the home each time this many
    /// weighted tokens are not yet reported.
    Base::ServiceUnits chargeStep = 500;
};

} // namespace Node
