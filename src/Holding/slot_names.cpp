#include "Holding/slot_order.hpp"
#include "Holding/want_kind.hpp"

namespace camphorpoint {

std::string_view to_string(want_kind kind) {
    switch (kind) {
    case want_kind::waited_for:
        return "waited-for";
    case want_kind::ahead:
        return "ahead";
    }
    return "";
}

std::string_view to_string(slot_order_kind kind) {
    switch (kind) {
    case slot_order_kind::load_model:
        return "load-model";
    case slot_order_kind::load_adapter:
        return "load-adapter";
    case slot_order_kind::unload_adapter:
        return "unload-adapter";
    }
    return "";
}

std::string_view to_string(slot_answer answer) {
    switch (answer) {
    case slot_answer::accepted:
        return "accepted";
    case slot_answer::holds:
        return "holds";
    case slot_answer::out_of_step:
        return "out-of-step";
    case slot_answer::fenced:
        return "fenced";
    case slot_answer::other_replica:
        return "other-replica";
    case slot_answer::rejected:
        return "rejected";
    case slot_answer::unsent:
        return "unsent";
    case slot_answer::lost:
        return "lost";
    }
    return "";
}

} // namespace camphorpoint
