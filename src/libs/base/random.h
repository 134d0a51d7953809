#pragma once

#include <cstdint>
#include <random>

namespace Base {

/// Source of random numbers; tests pass a seeded one to be repeatable.
class RandomSource
{
public:
    virtual ~RandomSource() = default;
    /// Returns the next number, uniformly distributed over all values.
    virtual std::uint64_t next() = 0;
};

/// Pseudo-random numbers that depend only on the seed.
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
