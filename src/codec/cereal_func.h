/** @file cereal_func.h Shared cereal archive and helpers. Only sources in codec/ include this file. */
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
 * Reads the output of cereal's PortableBinaryOutputArchive. A length field in the input that exceeds the remaining
 * bytes is rejected, so malformed input cannot cause a large allocation.
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
            throw cereal::Exception("byte order of the message differs from that of this host");
        }
    }

    void loadBytes(void *target, std::size_t size)
    {
        if (size > m_bytes.size()) {
            throw cereal::Exception("message is truncated");
        }
        if (size > 0) { // an empty container may have no memory, and memcpy() requires some
            std::memcpy(target, m_bytes.data(), size);
            m_bytes.remove_prefix(size);
        }
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

/** Reads a length. Each element takes at least one byte, so a length above the number of remaining bytes is invalid. */
template<typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<T> &tag)
{
    archive(tag.size);
    if (tag.size > archive.remaining()) {
        throw cereal::Exception("length exceeds the remaining bytes of the message");
    }
}

/**
 * Reads a vector. Memory is reserved for a bounded number of elements in advance; the vector grows as further elements
 * are decoded, because an element in memory may be much larger than its encoding.
 */
template<typename T>
requires(!std::is_arithmetic_v<T>) void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, std::vector<T> &values)
{
    constexpr std::size_t maxReservedElements = 1'024;
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    values.clear();
    values.reserve(std::min<std::size_t>(size, maxReservedElements));
    for (cereal::size_type n = 0; n < size; ++n) {
        archive(values.emplace_back());
    }
}

/**
 * Checks that a value of an enumeration is one of the enumerators. Values of other types pass.
 * @throws cereal::Exception when the value is out of range.
 */
template<typename T>
void checkEnumerator(const T &value)
{
    if constexpr (std::is_enum_v<T>) {
        if (value >= T::End) {
            throw cereal::Exception("enumeration value is out of range");
        }
    }
}

/** Serializes or deserializes any type with a fields() member. Enumeration values are validated on input. */
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

/**
 * Decodes one value. Bytes after the value are an error. Exceptions of cereal on malformed input become errors here.
 * @param step Step that an error names.
 */
template<typename T>
absl::StatusOr<T> decodeValue(std::string_view bytes, Step step)
{
    try {
        BoundedInputArchive archive(bytes);
        T value{};
        archive(value);
        if (archive.remaining() != 0) {
            return makeError(absl::StatusCode::kInvalidArgument, step, "", "unexpected bytes after the value");
        }
        return value;
    } catch (const std::exception &exception) {
        return makeError(absl::StatusCode::kInvalidArgument, step, "", exception.what());
    }
}

/** Encoded size of a version in bytes: one byte for the byte order of the archive, then the version itself. */
template<typename Version>
constexpr std::size_t versionBytes = sizeof(Version) + 1;

/**
 * Reads the version that precedes a value and checks that this build supports the version.
 * @param newestVersion Newest supported version; versions from 1 up to it are accepted.
 * @return kUnimplemented when the version is not supported; another error when it is malformed.
 */
template<typename Version>
absl::Status checkVersion(std::string_view bytes, Version newestVersion, Step step)
{
    const auto version = decodeValue<Version>(bytes.substr(0, versionBytes<Version>), step);
    if (!version.ok()) {
        return version.status();
    }
    if (*version == 0 || *version > newestVersion) {
        return makeError(
            absl::StatusCode::kUnimplemented, step, "", "this build does not support the version of the encoded value");
    }
    return absl::OkStatus();
}

/**
 * Decodes a version and, if this build supports the version, the value after it. For the parameters see
 * checkVersion().
 */
template<typename T, typename Version>
absl::StatusOr<T> decodeVersioned(std::string_view bytes, Version newestVersion, Step step)
{
    if (const auto status = checkVersion(bytes, newestVersion, step); !status.ok()) {
        return status;
    }
    return decodeValue<T>(bytes.substr(versionBytes<Version>), step);
}

} // namespace flamingotally

namespace flamingotally::dispatch
{

using flamingotally::serialize; // cereal finds serialize() by argument-dependent lookup in the namespace of the type

} // namespace flamingotally::dispatch

/** Declares the output archive that BoundedInputArchive reads. */
template<>
struct cereal::traits::detail::get_output_from_input<flamingotally::BoundedInputArchive> {
    using type = cereal::PortableBinaryOutputArchive; // NOLINT(readability-identifier-naming)
};
