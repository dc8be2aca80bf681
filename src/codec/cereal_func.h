/** @file cereal_func.h How this project uses cereal. For the sources of codec/ only. */
#pragma once

#include "core/error.h"
#include "core/fields.h"

#include <absl/status/statusor.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/tuple.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <bit>
#include <cstring>
#include <sstream>
#include <string>
#include <string_view>

namespace flamingotally
{

/**
 * Reads what cereal's PortableBinaryOutputArchive wrote, and never takes more memory than the bytes at hand can fill,
 * whatever length they claim.
 */
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedInputArchive(std::string_view bytes)
        : InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this), m_bytes(bytes)
    {
        std::uint8_t isLittleEndian = 0;
        loadBytes(&isLittleEndian, sizeof(isLittleEndian));
        if ((isLittleEndian == 1) != (std::endian::native == std::endian::little)) {
            throw cereal::Exception("byte order is not supported");
        }
    }

    void loadBytes(void *target, std::size_t size)
    {
        if (size > m_bytes.size()) {
            throw cereal::Exception("too short");
        }
        std::memcpy(target, m_bytes.data(), size);
        m_bytes.remove_prefix(size);
    }

    std::size_t remaining() const
    {
        return m_bytes.size();
    }

private:
    std::string_view m_bytes;
};

template<typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, T &value)
{
    archive.loadBytes(&value, sizeof(value));
}

template<typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.loadBytes(data.data, static_cast<std::size_t>(data.size));
}

template<typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

/** No element takes less than a byte, so a longer claim is false. */
template<typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<T> &tag)
{
    archive(tag.size);
    if (tag.size > archive.remaining()) {
        throw cereal::Exception("length is larger than the message");
    }
}

/** Grows as elements arrive: an element in memory may be much larger than its bytes. */
template<typename T>
requires(!std::is_arithmetic_v<T>) void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, std::vector<T> &values)
{
    constexpr std::size_t reservedAtMost = 1'024;
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    values.clear();
    values.reserve(std::min<std::size_t>(size, reservedAtMost));
    for (cereal::size_type n = 0; n < size; ++n) {
        archive(values.emplace_back());
    }
}

/** Refuses a value that its enumeration does not have. */
template<typename T>
void checkEnumerator(const T &value)
{
    if constexpr (std::is_enum_v<T>) {
        if (value >= T::End) {
            throw cereal::Exception("value is not in its enumeration");
        }
    }
}

/** Lets cereal walk any type that names its fields. */
template<typename Archive, HasFields T>
void serialize(Archive &archive, T &value)
{
    value.fields([&archive](auto &...values) {
        archive(values...);
        if constexpr (std::is_same_v<Archive, BoundedInputArchive>) {
            (checkEnumerator(values), ...);
        }
    });
}

/** Encodes one value. */
template<typename T>
std::string encodeValue(const T &value)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(value);
    }
    return std::move(stream).str();
}

/** Decodes one value that takes all the bytes. cereal throws on short or wrong input; that ends here. */
template<typename T>
absl::StatusOr<T> decodeValue(std::string_view bytes, Step step)
{
    try {
        BoundedInputArchive archive(bytes);
        T value{};
        archive(value);
        if (archive.remaining() != 0) {
            return makeError(absl::StatusCode::kInvalidArgument, step, "", "bytes left over");
        }
        return value;
    } catch (const std::exception &exception) {
        return makeError(absl::StatusCode::kInvalidArgument, step, "", exception.what());
    }
}

/** Bytes that a version takes in front of a value. */
template<typename Version>
constexpr std::size_t versionBytes = sizeof(Version) + 1;

/** Reads the version in front of a value, and judges whether this build knows it. */
template<typename Version>
absl::Status testVersion(std::string_view bytes, Version newest, Step step)
{
    const auto version = decodeValue<Version>(bytes.substr(0, versionBytes<Version>), step);
    if (!version.ok()) {
        return version.status();
    }
    if (*version == 0 || *version > newest) {
        return makeError(absl::StatusCode::kUnimplemented, step, "", "version is not supported");
    }
    return absl::OkStatus();
}

/** Decodes a version and, when this build knows it, the value behind it. */
template<typename T, typename Version>
absl::StatusOr<T> decodeVersioned(std::string_view bytes, Version newest, Step step)
{
    if (const auto status = testVersion(bytes, newest, step); !status.ok()) {
        return status;
    }
    return decodeValue<T>(bytes.substr(versionBytes<Version>), step);
}

} // namespace flamingotally

namespace flamingotally::dispatch
{

using flamingotally::serialize; // cereal looks for it beside the types

} // namespace flamingotally::dispatch

/** Tells cereal which output the archive reads. */
template<>
struct cereal::traits::detail::get_output_from_input<flamingotally::BoundedInputArchive> {
    using type = cereal::PortableBinaryOutputArchive; // NOLINT(readability-identifier-naming)
};
