#include "settings/configuration.h"

namespace Settings {

const VersionedTarget *Configuration::target(const Base::ClassId &name) const
{
    const auto it = m_targets.find(name);
    return it == m_targets.end() ? nullptr : &it->second;
}

const Customer *Configuration::customerByKeyDigest(const std::string &digest) const
{
    const auto it = m_customerByDigest.find(digest);
    if (it == m_customerByDigest.end())
        return nullptr;
    return &m_customers.at(it->second);
}

void Configuration::insert(const VersionedTarget &target)
{
    m_targets[target.target.name] = target;
}

void Configuration::insert(const Customer &customer)
{
    removeDigest(customer.id);
    m_customers[customer.id] = customer;
    m_customerByDigest[customer.keyDigest] = customer.id;
}

bool Configuration::apply(const ConfigurationChange &change)
{
    if (change.version != m_version + 1)
        return false;
    m_version = change.version;
    if (const auto *target = std::get_if<ClassTarget>(&change.what))
        insert(VersionedTarget{*target, change.version});
    if (const auto *customer = std::get_if<Customer>(&change.what))
        insert(*customer);
    if (const auto *removed = std::get_if<RemoveClass>(&change.what))
        m_targets.erase(removed->name);
    if (const auto *removed = std::get_if<RemoveCustomer>(&change.what)) {
        removeDigest(removed->id);
        m_customers.erase(removed->id);
    }
    return true;
}

void Configuration::removeDigest(const Base::CustomerId &id)
{
    const auto customer = m_customers.find(id);
    if (customer == m_customers.end())
        return;
    // If another customer has been given the same key since, the digest stays with that customer.
    const auto digest = m_customerByDigest.find(customer->second.keyDigest);
    if (digest != m_customerByDigest.end() && digest->second == id)
        m_customerByDigest.erase(digest);
}

} // namespace Settings
