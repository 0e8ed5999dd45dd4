#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>
#include <vector>

namespace camphorpoint {

/// Names an enumeration's last value, so that a decoded one can be checked.
/// Specialise it for each enumeration that travels between nodes.
template <class Enum>
struct last_value_of;

/// Reads what cereal's PortableBinaryOutputArchive wrote in little-endian
/// order, from bytes of any origin.
///
/// It guards against what cereal's own archive allows: a length from the wire
/// is allocated before its elements are read, so that a message of twenty
/// bytes can ask for all of a node's memory; a bool may hold 2 and an
/// enumeration any number, which later code takes for impossible. Here a
/// length may not exceed the bytes left, vectors grow as their elements are
/// read, and each value is checked. Broken bytes throw cereal::Exception.
class strict_input_archive
    : public cereal::InputArchive<
          strict_input_archive, cereal::AllowEmptyClassElision> {
public:
    /// @param bytes what to read; kept by reference while reading
    explicit strict_input_archive(std::string_view bytes)
        : cereal::InputArchive<
              strict_input_archive, cereal::AllowEmptyClassElision>(this)
        , left_(bytes) {
        std::uint8_t little_endian = 0;
        read(&little_endian, sizeof little_endian);
        if (little_endian != 1) {
            throw cereal::Exception("not in little-endian order");
        }
    }

    /// Copies the next bytes.
    /// @param to   where to
    /// @param size how many; throws when fewer are left
    void read(void* to, std::size_t size) {
        require(size);
        if (size > 0) {
            std::memcpy(to, left_.data(), size);
        }
        left_.remove_prefix(size);
    }
    /// Throws when fewer bytes are left than that.
    void require(std::uint64_t size) const {
        if (size > left_.size()) {
            throw cereal::Exception("ends too early");
        }
    }
    /// Throws unless every byte has been read.
    void require_end() const {
        if (!left_.empty()) {
            throw cereal::Exception("goes on too long");
        }
    }

private:
    std::string_view left_;
};

/// Reads a number; a bool must be 0 or 1.
template <class T>
requires std::is_arithmetic_v<T>
void load(strict_input_archive& archive, T& value) {
    std::array<std::uint8_t, sizeof(T)> bytes{};
    archive.read(bytes.data(), bytes.size());
    if constexpr (std::endian::native == std::endian::big) {
        std::ranges::reverse(bytes);
    }
    if constexpr (std::is_same_v<T, bool>) {
        if (bytes[0] > 1) {
            throw cereal::Exception("a truth value is neither 0 nor 1");
        }
        value = bytes[0] == 1;
    } else {
        value = std::bit_cast<T>(bytes);
    }
}

/// Reads a named value: the name does not travel.
template <class T>
void load(strict_input_archive& archive, cereal::NameValuePair<T>& named) {
    archive(named.value);
}

/// Reads a length, which can't exceed the bytes left: every element has one.
template <class T>
void load(strict_input_archive& archive, cereal::SizeTag<T>& length) {
    archive(length.size);
    archive.require(length.size);
}

/// Reads the bytes of a string.
template <class T>
requires(sizeof(std::remove_pointer_t<T>) == 1) void load(
    strict_input_archive& archive, cereal::BinaryData<T>& data) {
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

/// Reads a vector by growing it: memory follows the bytes that are there.
template <class T>
void load(strict_input_archive& archive, std::vector<T>& values) {
    cereal::size_type count = 0;
    archive(cereal::make_size_tag(count));
    values.clear();
    for (cereal::size_type index = 0; index < count; ++index) {
        archive(values.emplace_back());
    }
}

/// Called by cereal after each value: an enumeration must hold one of its
/// named values.
template <class Enum>
requires std::is_enum_v<Enum>
void epilogue(strict_input_archive& /*archive*/, Enum const& value) {
    using number = std::underlying_type_t<Enum>;
    auto const given = static_cast<number>(value);
    auto const last = static_cast<number>(last_value_of<Enum>::value);
    if (given < 0 || given > last) {
        throw cereal::Exception("an enumeration holds no named value");
    }
}

} // namespace camphorpoint

// cereal looks up here how an enumeration was written.
namespace cereal::traits::detail {

template <>
struct get_output_from_input<camphorpoint::strict_input_archive> {
    using type = cereal::PortableBinaryOutputArchive;
};

} // namespace cereal::traits::detail
