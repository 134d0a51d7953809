#pragma once

#include <cstdint>
#include <random>

namespace Base {

/// Source of random numbers; a test gives a seeded one.
class RandomSource
{
public:
    virtual ~RandomSource() = default;
    virtual std::uint64_t next() = 0;
};

class SeededRandom final : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {}
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace Base
