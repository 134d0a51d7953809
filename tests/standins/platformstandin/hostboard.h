#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace StandIn {

/// The list of live and leaving hosts. Readers see it as it was a while ago.
class HostBoard
{
public:
    explicit HostBoard(std::chrono::milliseconds lag)
        : m_lag(lag)
    {}

    /// \a hosts is the array of PROTOCOLS.md's GET /hosts.
    void set(const nlohmann::json &hosts);
    void setLag(std::chrono::milliseconds lag);
    /// Returns false if there is no host \a name.
    bool setState(const std::string &name, const std::string &state);
    nlohmann::json listing() const;

private:
    using Clock = std::chrono::steady_clock;
    struct Posted
    {
        Clock::time_point at;
        std::uint64_t version = 0;
        nlohmann::json hosts = nlohmann::json::array();
    };

    void post(nlohmann::json hosts);

    mutable std::mutex m_mutex;
    std::chrono::milliseconds m_lag;
    std::deque<Posted> m_posted;
};

} // namespace StandIn
