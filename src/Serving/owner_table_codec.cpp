#include "Serving/owner_table_codec.hpp"

#include "Core/strict_input_archive.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace camphorpoint {

std::string encode_owner_table(owner_table const& table) {
    std::ostringstream out(std::ios::binary);
    using archive_type = cereal::PortableBinaryOutputArchive;
    archive_type archive(out, archive_type::Options::LittleEndian());
    archive(table);
    return std::move(out).str();
}

std::optional<owner_table> decode_owner_table(std::string_view bytes) {
    try {
        strict_input_archive archive(bytes);
        owner_table table;
        archive(table);
        archive.require_end();
        return table;
    } catch (cereal::Exception const&) {
        return std::nullopt;
    }
}

} // namespace camphorpoint
