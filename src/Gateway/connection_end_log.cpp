#include "Gateway/connection_end_log.hpp"

namespace camphorpoint {

void connection_end_log::add(connection_end_report const& end) {
    state_->metrics.count_connection_end(to_string(end.why));
    if (!summary_.add(end, boot_clock::now())) {
        return;
    }
    state_->log_event(log_line(event_code::connection_ended)
                          .with("server", server_)
                          .with("why", to_string(end.why))
                          .with("id", end.id)
                          .with("status", end.status)
                          .with("read", end.bytes_read)
                          .with("unread", end.bytes_unread));
}

void connection_end_log::write(std::vector<connection_end_sum> const& sums) {
    for (connection_end_sum const& each : sums) {
        state_->log_event(log_line(event_code::connections_ended)
                              .with("server", server_)
                              .with("why", to_string(each.why))
                              .with("connections", each.connections)
                              .with("read", each.bytes_read)
                              .with("unread", each.bytes_unread));
    }
}

} // namespace camphorpoint
