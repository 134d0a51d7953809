#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace Settings {

/// Number of a configuration change; 0 is the empty configuration.
using ConfigurationVersion = std::uint64_t;

/// What an operator asks for one class of work. Nothing else can be steered.
struct ClassTarget
{
    Base::ClassId name;
    /// An answer must start within this time.
    Base::Milliseconds startWithin{1000};
    /// Share of a pool, above 0 and at most 1, that the class may claim while others wait.
    /// Empty: no limit.
    std::optional<double> claim;

    bool operator==(const ClassTarget &) const = default;
};

struct Customer
{
    Base::CustomerId id;
    /// SHA-256 of the customer's bearer key in lower-case hex; the key itself is not kept.
    std::string keyDigest;

    bool operator==(const Customer &) const = default;
};

struct RemoveClass
{
    Base::ClassId name;
    bool operator==(const RemoveClass &) const = default;
};

struct RemoveCustomer
{
    Base::CustomerId id;
    bool operator==(const RemoveCustomer &) const = default;
};

/// One accepted change of the configuration. Changes are applied in the order of their
/// versions, without gaps.
struct ConfigurationChange
{
    ConfigurationVersion version = 0;
    std::variant<ClassTarget, Customer, RemoveClass, RemoveCustomer> what;

    bool operator==(const ConfigurationChange &) const = default;
};

/// A class target with the version of the change that set it last.
struct VersionedTarget
{
    ClassTarget target;
    ConfigurationVersion version = 0;

    bool operator==(const VersionedTarget &) const = default;
};

/// The whole configuration at one version.
class Configuration
{
public:
    ConfigurationVersion version() const { return m_version; }
    const std::map<Base::ClassId, VersionedTarget> &targets() const { return m_targets; }
    const std::map<Base::CustomerId, Customer> &customers() const { return m_customers; }

    const VersionedTarget *target(const Base::ClassId &name) const;
    const Customer *customerByKeyDigest(const std::string &digest) const;

    /// Applies \a change if its version is the next one; returns whether it did.
    bool apply(const ConfigurationChange &change);

    /// For a snapshot taken from a peer: sets the version without the changes before it.
    void setVersion(ConfigurationVersion version) { m_version = version; }
    void insert(const VersionedTarget &target);
    void insert(const Customer &customer);

    bool operator==(const Configuration &) const = default;

private:
    void forgetDigest(const Base::CustomerId &id);

    ConfigurationVersion m_version = 0;
    std::map<Base::ClassId, VersionedTarget> m_targets;
    std::map<Base::CustomerId, Customer> m_customers;
    std::map<std::string, Base::CustomerId> m_customerByDigest;
};

} // namespace Settings
