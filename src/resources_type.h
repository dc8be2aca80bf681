/** @file resources_type.h Amounts of what a worker has and a task needs. */
#pragma once

#include <cstdint>

namespace flamingotally
{

/** Amounts of processor, memory and accelerators. Sums over the fleet fit: all arithmetic is 64 bits wide. */
struct Resources {
    std::int64_t cpuMilli = 0; ///< Thousandths of a processor core.
    std::int64_t memoryMb = 0; ///< Memory in units of 2^20 bytes.
    std::int64_t accelerators = 0; ///< Whole accelerators.

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

    /** Tells whether this amount fits into another. */
    bool fitsInto(const Resources &room) const
    {
        return cpuMilli <= room.cpuMilli && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }

    /** Tells whether no amount is below zero. */
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
