#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace Settings {

/// Number of a configuration change, counted from 1; 0 is the empty configuration.
using ConfigurationVersion = std::uint64_t;

/// The target that an operator sets for one class of work. Operators have no other control over
/// scheduling.
struct ClassTarget
{
    Base::ClassId name;
    /// Time from the arrival of a request within which its answer should start.
    Base::Milliseconds startWithin{1000};
    /// Claim of the class: the share of a pool, above 0 and at most 1, that it may use while other
    /// classes wait. Empty means no limit.
    std::optional<double> claim;

    bool operator==(const ClassTarget &) const = default;
};

/// A customer that may send requests, and the digest of its key.
struct Customer
{
    Base::CustomerId id;
    /// SHA-256 of the customer's bearer key in lower-case hex; the key itself is not stored.
    std::string keyDigest;

    bool operator==(const Customer &) const = default;
};

/// Change that removes the target of a class.
struct RemoveClass
{
    Base::ClassId name;
    bool operator==(const RemoveClass &) const = default;
};

/// Change that removes a customer.
struct RemoveCustomer
{
    Base::CustomerId id;
    bool operator==(const RemoveCustomer &) const = default;
};

/// One committed change of the configuration. Changes are applied in the order of their versions,
/// without gaps.
struct ConfigurationChange
{
    ConfigurationVersion version = 0;
    std::variant<ClassTarget, Customer, RemoveClass, RemoveCustomer> what;

    bool operator==(const ConfigurationChange &) const = default;
};

/// A class target and the version of the change that last set it.
struct VersionedTarget
{
    ClassTarget target;
    ConfigurationVersion version = 0;

    bool operator==(const VersionedTarget &) const = default;
};

/// The complete configuration at one version.
class Configuration
{
public:
    ConfigurationVersion version() const { return m_version; }
    const std::map<Base::ClassId, VersionedTarget> &targets() const { return m_targets; }
    const std::map<Base::CustomerId, Customer> &customers() const { return m_customers; }

    /// Returns the target of the class \a name, or null.
    const VersionedTarget *target(const Base::ClassId &name) const;
    /// Returns the customer whose key has this \a digest, or null.
    const Customer *customerByKeyDigest(const std::string &digest) const;

    /// Applies \a change if its version is the next one. Returns whether it was applied.
    bool apply(const ConfigurationChange &change);

    /// Sets the version while the configuration is loaded from a snapshot, without applying the
    /// changes up to it.
    void setVersion(ConfigurationVersion version) { m_version = version; }
    /// Adds or replaces a target or a customer without changing the version.
    void insert(const VersionedTarget &target);
    void insert(const Customer &customer);

    bool operator==(const Configuration &) const = default;

private:
    void removeDigest(const Base::CustomerId &id);

    ConfigurationVersion m_version = 0;
    std::map<Base::ClassId, VersionedTarget> m_targets;
    std::map<Base::CustomerId, Customer> m_customers;
    std::map<std::string, Base::CustomerId> m_customerByDigest;
};

} // namespace Settings
