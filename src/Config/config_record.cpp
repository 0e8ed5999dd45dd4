#include "Config/config_record.hpp"

#include "Config/record_text.hpp"

#include <boost/json.hpp>
#include <cereal/archives/json.hpp>

#include <exception>
#include <new>
#include <sstream>

namespace camphorpoint {

namespace json = boost::json;

namespace {

constexpr char const* change_key = "change";
constexpr char const* withdrawal_key = "withdrawal";
constexpr char const* checkpoint_key = "checkpoint";

char const* key_of(change const&) {
    return change_key;
}
char const* key_of(change_withdrawal const&) {
    return withdrawal_key;
}
char const* key_of(checkpoint_part const&) {
    return checkpoint_key;
}

template <class Text>
decoded_record read(std::string_view text, char const* key) {
    std::istringstream stream{std::string(text)};
    cereal::JSONInputArchive archive(stream);
    Text value;
    archive(cereal::make_nvp(key, value));
    return internal::from_text(value);
}

decoded_record read_any(std::string_view text, json::object const& top) {
    if (top.contains(change_key)) {
        return read<internal::change_text>(text, change_key);
    }
    if (top.contains(withdrawal_key)) {
        return read<internal::withdrawal_text>(text, withdrawal_key);
    }
    if (top.contains(checkpoint_key)) {
        return read<internal::checkpoint_text>(text, checkpoint_key);
    }
    return record_error{"it is of no known kind"};
}

decoded_record read_strictly(std::string_view text) {
    // Guards against a record of many thousand brackets, which would end the
    // stack of every node that replays it: cereal's reader calls itself for
    // each level. Boost.JSON counts the depth (32 at most) and goes first; it
    // also refuses text that is not UTF-8.
    json::error_code error;
    json::value const tree = json::parse(text, error);
    if (error || !tree.is_object()) {
        return record_error{"it is not a JSON object"};
    }
    decoded_record record = read_any(text, tree.get_object());
    // Guards against two versions of the program reading one record in two
    // ways: cereal passes over keys that it does not know, and cuts text at a
    // zero byte. What was understood must be all that is there.
    // A checkpoint is left out for its size: its digest says the same.
    bool const checked =
        record && !std::holds_alternative<checkpoint_part>(record.value());
    if (checked && json::parse(encode(record.value())) != tree) {
        return record_error{"it says more than its format knows"};
    }
    return record;
}

} // namespace

std::string encode(config_record const& record) {
    std::ostringstream stream;
    {
        cereal::JSONOutputArchive archive(
            stream, cereal::JSONOutputArchive::Options::NoIndent());
        std::visit(
            [&archive](auto const& value) {
                auto const text = internal::to_text(value);
                archive(cereal::make_nvp(key_of(value), text));
            },
            record);
    }
    return stream.str();
}

bool looks_like_checkpoint(std::string_view text) noexcept {
    constexpr std::string_view white = " \t\r\n";
    constexpr std::string_view start = "\"checkpoint\"";
    std::size_t const brace = text.find_first_not_of(white);
    if (brace == text.npos || text[brace] != '{') {
        return false;
    }
    std::size_t const key = text.find_first_not_of(white, brace + 1);
    return key != text.npos && text.substr(key).starts_with(start);
}

decoded_record decode(std::string_view text) noexcept {
    if (text.size() > longest_config_record) {
        return record_error{"it is too long"};
    }
    try {
        return read_strictly(text);
    } catch (std::bad_alloc const&) {
        // A node short of memory must not take a good record for a broken one:
        // it would go its own way from here. It stops, and starts again.
        std::terminate();
    } catch (std::exception const& error) {
        return record_error{error.what()};
    }
}

} // namespace camphorpoint
