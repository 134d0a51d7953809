#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace StandIn {

/// The list of live and leaving hosts. Readers see it with a fixed lag. Thread-safe.
class HostBoard
{
public:
    explicit HostBoard(std::chrono::milliseconds lag)
        : m_lag(lag)
    {}

    /// Replaces the list. \a hosts is an array like the one that GET /hosts returns.
    void set(const nlohmann::json &hosts);
    /// Sets the age of the list that readers see.
    void setLag(std::chrono::milliseconds lag);
    /// Changes the state of a host. Returns false if there is no host \a name.
    bool setState(const std::string &name, const std::string &state);
    /// The list that readers see: {"version":N,"hosts":[...]}.
    nlohmann::json listing() const;

private:
    using Clock = std::chrono::steady_clock;
    struct Snapshot
    {
        Clock::time_point at;
        std::uint64_t version = 0;
        nlohmann::json hosts = nlohmann::json::array();
    };

    void publish(nlohmann::json hosts);

    mutable std::mutex m_mutex;
    std::chrono::milliseconds m_lag;
    std::deque<Snapshot> m_snapshots;
};

} // namespace StandIn
