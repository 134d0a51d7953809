#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Base {

/// A name that cannot be mixed up with a name of another kind.
template <typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {}

    const std::string &value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }
    auto operator<=>(const StrongId &) const = default;
    bool operator==(const StrongId &) const = default;

private:
    std::string m_value;
};

/// A router process's host, as the platform's host list names it.
using HostId = StrongId<struct HostTag>;
/// A backend server: a model server or an application server.
using ServerId = StrongId<struct ServerTag>;
using ZoneId = StrongId<struct ZoneTag>;
using RegionId = StrongId<struct RegionTag>;
using CustomerId = StrongId<struct CustomerTag>;
using ClassId = StrongId<struct ClassTag>;
/// The servers that can stand in for one another: those of one model ("model/NAME")
/// or of one plain service ("service/NAME").
using PoolId = StrongId<struct PoolTag>;

/// Distinguishes the starts of one host; a later start has a larger number.
using Incarnation = std::uint64_t;
/// Weighed service: prompt tokens count once, generated tokens GeneratedTokenWeight times.
using ServiceUnits = std::uint64_t;

/// Names one request in the whole fleet: its entry host, that host's start, a serial number.
struct RequestKey
{
    HostId entry;
    Incarnation incarnation = 0;
    std::uint64_t serial = 0;

    auto operator<=>(const RequestKey &) const = default;
    bool operator==(const RequestKey &) const = default;
};

/// Text form for logs, traces and callers: "entry-incarnation-serial".
std::string toString(const RequestKey &key);

} // namespace Base

template <typename Tag>
struct std::hash<Base::StrongId<Tag>>
{
    std::size_t operator()(const Base::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};

template <>
struct std::hash<Base::RequestKey>
{
    std::size_t operator()(const Base::RequestKey &key) const noexcept
    {
        return std::hash<Base::HostId>{}(key.entry) ^ (key.incarnation * 0x9E3779B97F4A7C15ULL)
               ^ (key.serial * 0xC2B2AE3D27D4EB4FULL);
    }
};
