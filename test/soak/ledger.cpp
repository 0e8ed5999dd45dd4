#include "test/soak/ledger.hpp"

#include <fstream>

namespace camphorpoint::soak {

std::map<std::string, unsigned> read_ledger(std::string const& file) {
    std::map<std::string, unsigned> runs;
    std::ifstream lines(file);
    std::string line;
    while (std::getline(lines, line)) {
        ++runs[line.substr(0, line.find(' '))];
    }
    return runs;
}

std::vector<violation> find_violations(
    std::map<std::string, unsigned> const& runs, told_fates const& told,
    std::set<std::string> const& once_only) {
    std::vector<violation> found;
    for (auto const& [id, count] : runs) {
        if (!once_only.contains(id)) {
            continue;
        }
        if (count > 1) {
            found.push_back({"TWICE", id});
        }
        if (told.refused.contains(id)) {
            found.push_back({"REFUSED", id});
        }
        if (told.reset.contains(id)) {
            found.push_back({"RESET", id});
        }
    }
    for (std::string const& id : told.foreign) {
        found.push_back({"MIXED", id});
    }
    return found;
}

} // namespace camphorpoint::soak
