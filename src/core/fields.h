/**
 * @file fields.h The fields() convention: a type passes all its fields to a visitor, so that digests and codecs can
 * process it without depending on each other.
 */
#pragma once

#include <type_traits>

namespace flamingotally
{

/** Placeholder for any visitor in the concept below. */
struct AnyFieldVisitor {
    template<typename... Fields>
    void operator()(Fields &...) const
    {
    }
};

/** A type with a member function that passes all its fields, in a fixed order, to a visitor. */
template<typename T>
concept HasFields = requires(T &value)
{
    value.fields(AnyFieldVisitor{});
};

} // namespace flamingotally
