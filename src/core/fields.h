/** @file fields.h How a type names its fields, so that digests and codecs can walk it without knowing each other. */
#pragma once

#include <type_traits>

namespace flamingotally
{

/** Stands for any visitor in the check below. */
struct AnyFieldVisitor {
    template<typename... Fields>
    void operator()(Fields &...) const
    {
    }
};

/** A type that hands all its fields, in a fixed order, to a visitor. */
template<typename T>
concept HasFields = requires(T &value)
{
    value.fields(AnyFieldVisitor{});
};

} // namespace flamingotally
