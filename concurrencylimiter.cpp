#pragma once

#include "metrics/instruments.h"
#include "metrics/metricsconstants.h"
#include "metrics/registry.h"
#include "metrics/textformat.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace Metrics::Internal {

/// A family of any type, as the registry holds it.
class AnyFamily
{
public:
    virtual ~AnyFamily() = default;
    virtual void appendTo(std::string &text) const = 0;
};

/// The family of instruments \a Implementation, known to users as \a Instrument.
template <typename Instrument, typename Implementation>
class AtomicFamily final : public Family<Instrument>, public AnyFamily
{
public:
    using Make = std::function<std::unique_ptr<Implementation>()>;

    AtomicFamily(FamilyDescription description, Make make)
        : m_description(std::move(description))
        , m_make(std::move(make))
    {}

    const FamilyDescription &description() const { return m_description; }

    Instrument &with(const std::vector<std::string> &labelValues) override
    {
        std::vector<std::string> values = labelValues;
        values.resize(m_description.labelNames.size());
        const std::lock_guard lock(m_mutex);
        auto it = m_children.find(values);
        if (it != m_children.end())
            return *it->second;
        if (m_children.size() >= largestChildren)
            values.assign(values.size(), overflowLabel);
        std::unique_ptr<Implementation> &child = m_children[values];
        if (!child)
            child = m_make();
        return *child;
    }

    void appendTo(std::string &text) const override
    {
        text += formatHeader(m_description.name, m_description.help, Implementation::typeName);
        const std::lock_guard lock(m_mutex);
        for (const auto &[values, child] : m_children) {
            std::vector<Label> labels;
            for (std::size_t i = 0; i < values.size(); ++i)
                labels.push_back({m_description.labelNames[i], values[i]});
            child->appendTo(text, m_description.name, labels);
        }
    }

private:
    FamilyDescription m_description;
    Make m_make;
    mutable std::mutex m_mutex;
    std::map<std::vector<std::string>, std::unique_ptr<Implementation>> m_children;
};

} // namespace Metrics::Internal
