#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Base {

/// An identifier whose type differs for each kind of named object, so that kinds cannot be
/// confused.
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

/// The host of a router process, named as in the platform's list of hosts.
using HostId = StrongId<struct HostTag>;
/// A backend server, which is a model server or an application server.
using ServerId = StrongId<struct ServerTag>;
/// An availability zone.
using ZoneId = StrongId<struct ZoneTag>;
using RegionId = StrongId<struct RegionTag>;
/// A customer, which has its own key and its own share of the service.
using CustomerId = StrongId<struct CustomerTag>;
/// A class of work, which has a target for the start of answers.
using ClassId = StrongId<struct ClassTag>;
/// A pool: the interchangeable backend servers of one model ("model/NAME") or of one other service
/// ("service/NAME").
using PoolId = StrongId<struct PoolTag>;

/// Number of a start of a host; a later start has a larger number.
using Incarnation = std::uint64_t;
/// Weighted amount of service, in tokens: prompt tokens count once, generated tokens
/// Node::generatedTokenWeight times.
using ServiceUnits = std::uint64_t;

/// Identifies one request in the whole fleet by its entry host, which received it from the caller,
/// the start of that host, and a serial number.
struct RequestKey
{
    HostId entry;
    Incarnation incarnation = 0;
    std::uint64_t serial = 0;

    auto operator<=>(const RequestKey &) const = default;
    bool operator==(const RequestKey &) const = default;
};

/// Returns "entry-incarnation-serial" for logs, traces and callers.
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
