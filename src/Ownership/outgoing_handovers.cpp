#include "Ownership/outgoing_handovers.hpp"

#include <utility>

namespace camphorpoint {

void outgoing_handovers::begin(outgoing_handover move, instant now) {
    move.phase = handover_phase::stopping;
    move.deadline = now + settings_.stop_limit;
    moves_.insert_or_assign(move.resource, std::move(move));
}

outgoing_handover const*
outgoing_handovers::on_stopped(resource_id const& resource, instant now) {
    auto const found = moves_.find(resource);
    if (found == moves_.end() ||
        found->second.phase != handover_phase::stopping) {
        return nullptr;
    }
    outgoing_handover& move = found->second;
    move.stopped = true;
    if (move.successor.node.empty()) {
        move.phase = handover_phase::releasing;
        return nullptr;
    }
    move.phase = handover_phase::offered;
    move.deadline = now + settings_.accept_limit;
    return &move;
}

void outgoing_handovers::on_accepted(
    resource_id const& resource, node_id const& from, log_offset fencing) {
    auto const found = moves_.find(resource);
    if (found == moves_.end()) {
        return;
    }
    outgoing_handover& move = found->second;
    bool const expected = move.phase == handover_phase::offered &&
                          move.successor.node == from &&
                          move.fencing == fencing;
    if (expected) {
        move.accepted = true;
        move.phase = handover_phase::releasing;
    }
}

std::vector<outgoing_handover> outgoing_handovers::offered() const {
    std::vector<outgoing_handover> result;
    for (auto const& [resource, move] : moves_) {
        if (move.phase == handover_phase::offered) {
            result.push_back(move);
        }
    }
    return result;
}

void outgoing_handovers::redirect(
    resource_id const& resource, node_run const& successor, instant now) {
    outgoing_handover& move = moves_.at(resource);
    move.tried_successors.insert(move.successor.node);
    move.successor = successor;
    move.phase = handover_phase::stopping;
    move.stopped = false;
    move.deadline = now + settings_.stop_limit;
}

std::vector<resource_id> outgoing_handovers::expire(instant now) {
    std::vector<resource_id> back;
    for (auto& [resource, move] : moves_) {
        bool const waits = move.phase == handover_phase::stopping ||
                           move.phase == handover_phase::offered;
        if (!waits || now < move.deadline) {
            continue;
        }
        if (move.draining) {
            // A successor that did not accept the state must not be named as
            // owner: it would become the owner of a resource that it may be
            // unable to serve.
            move.phase = handover_phase::releasing;
        } else {
            back.push_back(resource);
        }
    }
    for (resource_id const& each : back) {
        moves_.erase(each);
    }
    return back;
}

std::vector<release> outgoing_handovers::start_releases(instant now) {
    std::vector<release> result;
    for (auto& [resource, move] : moves_) {
        if (move.phase != handover_phase::releasing || now < move.retry_at) {
            continue;
        }
        move.phase = handover_phase::appending;
        release next;
        next.resource = resource;
        next.fencing = move.fencing;
        if (move.accepted) {
            next.successor = move.successor;
        }
        // Without a successor, no node learns how much longer evictions must
        // wait. Therefore the release only spares the next owner its wait if
        // this holder itself was already free to evict.
        next.stopped = move.stopped && (move.accepted || move.may_evict);
        result.push_back(std::move(next));
    }
    return result;
}

void outgoing_handovers::append_failed(
    resource_id const& resource, instant retry_at) {
    auto const found = moves_.find(resource);
    if (found != moves_.end()) {
        found->second.phase = handover_phase::releasing;
        found->second.retry_at = retry_at;
    }
}

void outgoing_handovers::release_without_successor(
    resource_id const& resource) {
    outgoing_handover& move = moves_.at(resource);
    move.phase = handover_phase::releasing;
}

void outgoing_handovers::finish(resource_id const& resource) {
    moves_.erase(resource);
}

bool outgoing_handovers::is_moving(resource_id const& resource) const {
    return moves_.contains(resource);
}

} // namespace camphorpoint
