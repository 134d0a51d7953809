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
    const auto old = m_customers.find(customer.id);
    if (old != m_customers.end())
        m_customerByDigest.erase(old->second.keyDigest);
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
        const auto it = m_customers.find(removed->id);
        if (it == m_customers.end())
            return true;
        m_customerByDigest.erase(it->second.keyDigest);
        m_customers.erase(it);
    }
    return true;
}

} // namespace Settings
