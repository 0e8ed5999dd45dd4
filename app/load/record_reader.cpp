#include "app/load/record_reader.hpp"

#include "app/node_client.hpp"

namespace camphorpoint {

std::vector<std::string> audit_records(
    std::vector<std::string> const& engines,
    std::vector<std::string> const& services,
    std::vector<request_result> const& results, record_audit& audit) {
    std::vector<std::string> unread;
    for (std::string const& each : engines) {
        fetch_result const got = node_client(each).get("/records");
        if (!audit.take_engine(got.response.body)) {
            unread.push_back(each);
        }
    }
    for (std::string const& each : services) {
        fetch_result const got = node_client(each).get("/records");
        if (!audit.take_service(got.response.body)) {
            unread.push_back(each);
        }
    }
    audit.check(results);
    return unread;
}

} // namespace camphorpoint
