#include "ReplicaControl/load_priority.hpp"
#include "ReplicaControl/replica_command.hpp"

namespace camphorpoint {

std::string_view to_string(load_priority priority) {
    switch (priority) {
    case load_priority::demand:
        return "waited-for";
    case load_priority::prefetch:
        return "ahead";
    }
    return "";
}

std::string_view to_string(replica_command_kind kind) {
    switch (kind) {
    case replica_command_kind::load_model:
        return "load-model";
    case replica_command_kind::load_adapter:
        return "load-adapter";
    case replica_command_kind::unload_adapter:
        return "unload-adapter";
    }
    return "";
}

std::string_view to_string(command_result answer) {
    switch (answer) {
    case command_result::accepted:
        return "accepted";
    case command_result::already_done:
        return "holds";
    case command_result::out_of_sequence:
        return "out-of-step";
    case command_result::fenced:
        return "fenced";
    case command_result::wrong_replica:
        return "other-replica";
    case command_result::rejected:
        return "rejected";
    case command_result::not_sent:
        return "unsent";
    case command_result::no_answer:
        return "lost";
    }
    return "";
}

} // namespace camphorpoint
