#include "Ownership/control_record.hpp"

#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <exception>
#include <sstream>

namespace camphorpoint {

namespace {

constexpr std::uint32_t format_version = 1;

/// Serializes one value under its JSON key.
template <class Archive, class Value>
void named(Archive& archive, char const* name, Value& value) {
    archive(cereal::make_nvp(name, value));
}

template <class Archive>
void named_resource(Archive& archive, resource_id& resource) {
    auto kind = static_cast<std::uint32_t>(resource.kind);
    named(archive, "kind", kind);
    if (kind > static_cast<std::uint32_t>(resource_kind::key_shard)) {
        throw cereal::Exception("unknown kind of resource");
    }
    resource.kind = static_cast<resource_kind>(kind);
    named(archive, "name", resource.name);
}

template <class Archive>
void named_node(Archive& archive, char const* name, node_id& node) {
    std::string text = node.str();
    named(archive, name, text);
    node = node_id(text);
}

} // namespace

// cereal finds the functions below by argument-dependent lookup, so they must
// be in the namespace of the types.
template <class Archive>
void serialize(Archive& archive, claim& record) {
    named_resource(archive, record.resource);
}

template <class Archive>
void serialize(Archive& archive, renewal& record) {
    named_resource(archive, record.resource);
    named(archive, "fencing", record.fencing.value);
}

template <class Archive>
void serialize(Archive& archive, release& record) {
    named_resource(archive, record.resource);
    named(archive, "fencing", record.fencing.value);
    named(archive, "stopped", record.stopped);
    node_run successor = record.successor.value_or(node_run{});
    named_node(archive, "successor", successor.node);
    named(archive, "successor_run", successor.run);
    record.successor.reset();
    if (!successor.node.empty()) {
        record.successor = successor;
    }
}

template <class Archive>
void serialize(Archive& archive, control_record& record) {
    std::uint32_t version = format_version;
    named(archive, "version", version);
    if (version != format_version) {
        throw cereal::Exception("unsupported version of the control record");
    }
    named_node(archive, "node", record.writer.node);
    named(archive, "run", record.writer.run);
    named(archive, "append", record.append);
    named(archive, "claims", record.claims);
    named(archive, "renewals", record.renewals);
    named(archive, "releases", record.releases);
}

std::string encode_control_record(control_record const& record) {
    std::ostringstream stream;
    {
        auto const compact = cereal::JSONOutputArchive::Options::NoIndent();
        cereal::JSONOutputArchive archive(stream, compact);
        control_record copy = record;
        archive(cereal::make_nvp("control", copy));
    }
    std::string text = stream.str();
    // cereal writes line breaks only between JSON tokens; line breaks within
    // strings are escaped, so removing them keeps the text equivalent.
    std::erase(text, '\n');
    return text;
}

std::optional<control_record> decode_control_record(std::string const& text) {
    control_record result;
    try {
        std::istringstream stream(text);
        cereal::JSONInputArchive archive(stream);
        archive(cereal::make_nvp("control", result));
    } catch (std::exception const&) {
        return std::nullopt;
    }
    // cereal ignores unknown JSON members and trailing text. A record written
    // by another version must not be applied in part, so only text that encodes
    // to the same bytes again is accepted.
    if (encode_control_record(result) != text) {
        return std::nullopt;
    }
    return result;
}

} // namespace camphorpoint
