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

/// Base class of all families, by which the registry stores them.
class FamilyBase
{
public:
    virtual ~FamilyBase() = default;
    /// Appends the header and the samples of the family to \a text.
    virtual void appendTo(std::string &text) const = 0;
};

/// A family whose instruments have the type \a Implementation and the interface \a Instrument.
template <typename Instrument, typename Implementation>
class AtomicFamily final : public Family<Instrument>, public FamilyBase
{
public:
    using Factory = std::function<std::unique_ptr<Implementation>()>;

    AtomicFamily(FamilyDescription description, Factory factory)
        : m_description(std::move(description))
        , m_factory(std::move(factory))
    {}

    const FamilyDescription &description() const { return m_description; }

    Instrument &with(const std::vector<std::string> &labelValues) override
    {
        std::vector<std::string> values = labelValues;
        values.resize(m_description.labelNames.size());
        const std::lock_guard lock(m_mutex);
        auto it = m_instruments.find(values);
        if (it != m_instruments.end())
            return *it->second;
        if (m_instruments.size() >= maxFamilySize)
            values.assign(values.size(), overflowLabel);
        std::unique_ptr<Implementation> &instrument = m_instruments[values];
        if (!instrument)
            instrument = m_factory();
        return *instrument;
    }

    void appendTo(std::string &text) const override
    {
        text += formatHeader(m_description.name, m_description.help, Implementation::typeName);
        const std::lock_guard lock(m_mutex);
        for (const auto &[values, instrument] : m_instruments) {
            std::vector<Label> labels;
            for (std::size_t i = 0; i < values.size(); ++i)
                labels.push_back({m_description.labelNames[i], values[i]});
            instrument->appendTo(text, m_description.name, labels);
        }
    }

private:
    FamilyDescription m_description;
    Factory m_factory;
    mutable std::mutex m_mutex;
    std::map<std::vector<std::string>, std::unique_ptr<Implementation>> m_instruments;
};

} // namespace Metrics::Internal
