#include "app/files.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace camphorpoint {

namespace fs = std::filesystem;

namespace {

std::vector<std::string> files_of(std::string const& path) {
    std::error_code error;
    if (!fs::is_directory(path, error)) {
        return {path};
    }
    std::vector<std::string> files;
    for (fs::directory_entry const& each :
         fs::directory_iterator(path, error)) {
        if (each.path().extension() == ".toml") {
            files.push_back(each.path().string());
        }
    }
    std::ranges::sort(files);
    return files;
}

} // namespace

std::optional<std::string> read_file(std::string const& name) {
    std::error_code error;
    std::ifstream stream(name, std::ios::binary);
    if (!stream || fs::is_directory(name, error)) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

declarations read_declarations(std::vector<std::string> const& paths) {
    declarations result;
    for (std::string const& path : paths) {
        auto const files = files_of(path);
        if (files.empty()) {
            result.unreadable.push_back(path);
        }
        for (std::string const& file : files) {
            auto const text = read_file(file);
            if (!text) {
                result.unreadable.push_back(file);
                continue;
            }
            ++result.files;
            result.reader.read(file, *text);
        }
    }
    return result;
}

void print_problems(declarations const& read) {
    for (std::string const& each : read.unreadable) {
        fmt::print(stderr, "{}: holds no declaration that can be read\n", each);
    }
    fmt::print(stderr, "{}", read.reader.problems().report());
}

} // namespace camphorpoint
