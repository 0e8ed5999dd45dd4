#include "Load/declaration_writer.hpp"

#include <fmt/format.h>

namespace camphorpoint {

namespace {

constexpr std::size_t profiles_per_file = 500;

std::string write_common(profile const& value) {
    return fmt::format(
        "urgency = \"{}\"\nidempotent = {}\ndeadline = \"{}ms\"\n\n",
        to_string(value.how_urgent), value.idempotent,
        value.default_deadline.count());
}

std::string write_engine_profile(profile const& value) {
    return fmt::format(
               "[[profile]]\nname = \"{}\"\nmodel = \"{}\"\nadapter = \"{}\"\n"
               "version = {}\n",
               value.name.str(), value.model.str(), value.adapter.id.str(),
               value.adapter.version) +
           write_common(value);
}

std::string write_service_profile(profile const& value) {
    return fmt::format(
               "[[profile]]\nname = \"{}\"\nkind = \"service\"\n"
               "service = \"{}\"\n",
               value.name.str(), value.model.str()) +
           write_common(value);
}

} // namespace

std::vector<declaration_file> write_declarations(
    deployment const& site, std::size_t adapters, std::uint32_t version) {
    std::vector<declaration_file> files;
    declaration_file services{site.name + "-services.toml", ""};
    for (task_kind const& each : site.tasks) {
        if (each.kind == endpoint_kind::service) {
            services.text +=
                write_service_profile(make_service_profile(site, each));
        }
    }
    files.push_back(services);
    for (std::size_t adapter = 0; adapter < adapters; ++adapter) {
        if (adapter % profiles_per_file == 0) {
            std::size_t const part = adapter / profiles_per_file;
            files.push_back(
                {fmt::format("{}-adapters-{:03}.toml", site.name, part), ""});
        }
        files.back().text +=
            write_engine_profile(make_profile(site, adapter, version));
    }
    return files;
}

} // namespace camphorpoint
