/** @file resources_type.h Amounts of resources that a worker has or a task needs. */
#pragma once

#include <cstdint>

namespace flamingotally
{

/** Amounts of processor time, memory and accelerators. All arithmetic has 64 bits, so sums over the fleet fit. */
struct Resources {
    std::int64_t cpuMilli = 0; ///< Thousandths of a processor core.
    std::int64_t memoryMb = 0; ///< Memory in units of 2^20 bytes.
    std::int64_t accelerators = 0; ///< Number of accelerators.

    friend bool operator==(const Resources &, const Resources &) = default;

    Resources &operator+=(const Resources &other)
    {
        cpuMilli += other.cpuMilli;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        cpuMilli -= other.cpuMilli;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend Resources operator+(Resources left, const Resources &right)
    {
        return left += right;
    }

    friend Resources operator-(Resources left, const Resources &right)
    {
        return left -= right;
    }

    friend Resources operator*(Resources left, std::int64_t n)
    {
        return {left.cpuMilli * n, left.memoryMb * n, left.accelerators * n};
    }

    /** Returns whether each amount is at most that of a given capacity. */
    bool fitsInto(const Resources &capacity) const
    {
        return cpuMilli <= capacity.cpuMilli && memoryMb <= capacity.memoryMb && accelerators <= capacity.accelerators;
    }

    /** Returns whether no amount is negative. */
    bool isNonNegative() const
    {
        return cpuMilli >= 0 && memoryMb >= 0 && accelerators >= 0;
    }

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(cpuMilli, memoryMb, accelerators);
    }
};

} // namespace flamingotally
