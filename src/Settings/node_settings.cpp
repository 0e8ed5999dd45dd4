#include "Settings/node_settings.hpp"

#include "Settings/settings_schema.hpp"
#include "Settings/toml_section.hpp"

#include <charconv>
#include <utility>
#include <vector>

namespace camphorpoint {

namespace {

using std::chrono::milliseconds;

/// Reads each setting that it is shown from a file.
class settings_reader {
public:
    explicit settings_reader(toml_section& root)
        : root_(&root) {}

    void section(std::string const& name) {
        finish();
        section_.emplace(root_->table(name));
    }
    template <class Text>
    void text(std::string const& key, Text& target, std::string_view) {
        target = Text(section_->required_text(key));
    }
    void address(std::string const& key, ip_address& target, std::string_view) {
        std::string const text = section_->required_text(key);
        target = parse_address(text);
        if (!text.empty() && target.port == 0) {
            section_->complain(
                key, "must be an address such as \"127.0.0.1:8080\"");
        }
        refuse_clash(key, target);
    }
    void time(
        std::string const& key, milliseconds& target, milliseconds least,
        milliseconds most, std::string_view) {
        target = section_->time(key, target, least, most);
    }
    template <class Number>
    void number(
        std::string const& key, Number& target, std::int64_t least,
        std::int64_t most, std::string_view) {
        auto const fallback = static_cast<std::int64_t>(target);
        target =
            static_cast<Number>(section_->integer(key, fallback, least, most));
    }
    void flag(std::string const& key, bool& target, std::string_view) {
        target = section_->boolean(key, target);
    }
    void policy(
        std::string const& key, staleness_policy& target,
        std::string_view meaning) {
        std::string const name(staleness_name(target));
        auto const read = parse_staleness(section_->text(key, name));
        if (!read) {
            section_->complain(key, "must be " + std::string(meaning));
        }
        target = read.value_or(target);
    }
    /// Ends the section that was begun last.
    void finish() {
        if (section_) {
            section_->refuse_unknown_keys();
        }
    }

private:
    struct named_address {
        std::string key;
        ip_address address;
    };

    // Two services on one address: the second to start would fail, or a node
    // would take its own interface for the log.
    void refuse_clash(std::string const& key, ip_address const& address) {
        for (named_address const& each : addresses_) {
            bool const same_host = each.address.host == address.host ||
                                   each.address.host == "0.0.0.0" ||
                                   address.host == "0.0.0.0";
            if (address.port != 0 && address.port == each.address.port &&
                same_host) {
                section_->complain(key, "clashes with the " + each.key);
            }
        }
        addresses_.push_back({key, address});
    }

    toml_section* root_;
    std::optional<toml_section> section_;
    std::vector<named_address> addresses_;
};

/// Finds values that are each in range but don't go together.
void check_relations(
    std::string const& file, node_settings const& all, findings& problems) {
    auto const complain = [&](std::string key, std::string what) {
        problems.add({file, 0, std::move(key)}, std::move(what));
    };
    if (all.ownership.lease < 2 * all.ownership.poll) {
        complain(
            "ownership.lease",
            "must be at least twice ownership.poll, or each lease lapses "
            "between two reads");
    }
    if (all.members.ack_timeout >= all.members.probe_period) {
        complain(
            "membership.ack_limit", "must be shorter than membership.period");
    }
    if (all.configuration.shortest_poll > all.configuration.longest_poll) {
        complain(
            "configuration.shortest_poll",
            "must not exceed configuration.longest_poll");
    }
}

} // namespace

ip_address parse_address(std::string_view text) {
    std::size_t const colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    ip_address result;
    result.host = std::string(text.substr(0, colon));
    std::string_view const port = text.substr(colon + 1);
    char const* const last = port.data() + port.size();
    auto const [end, error] = std::from_chars(port.data(), last, result.port);
    if (error != std::errc() || end != last || result.host.empty()) {
        return {};
    }
    return result;
}

node_settings read_node_settings(
    std::string const& file, std::string_view text, findings& problems) {
    node_settings result;
    std::optional<toml::table> const parsed = parse_toml(file, text, problems);
    if (!parsed) {
        return result;
    }
    toml_section root(file, "", *parsed, problems);
    settings_reader reader(root);
    internal::visit_settings(reader, result);
    reader.finish();
    root.refuse_unknown_keys();
    check_relations(file, result, problems);
    return result;
}

std::string_view staleness_name(staleness_policy policy) noexcept {
    switch (policy) {
    case staleness_policy::serve:
        return "serve";
    case staleness_policy::refuse_when_isolated:
        return "refuse-when-isolated";
    case staleness_policy::refuse_when_unconfirmed:
        return "refuse-when-unconfirmed";
    }
    return "refuse-when-isolated";
}

std::optional<staleness_policy>
parse_staleness(std::string_view name) noexcept {
    for (auto const each :
         {staleness_policy::serve, staleness_policy::refuse_when_isolated,
          staleness_policy::refuse_when_unconfirmed}) {
        if (staleness_name(each) == name) {
            return each;
        }
    }
    return std::nullopt;
}

} // namespace camphorpoint
