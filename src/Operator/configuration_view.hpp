#pragma once

#include "Config/configuration.hpp"
#include "Operator/change_history.hpp"
#include "Operator/profile_listing.hpp"
#include "Operator/publish_answer.hpp"

#include <vector>

namespace camphorpoint {

/// @returns what GET /profiles answers
profile_listing list_profiles(configuration const& current);

/// What GET /changes/ID answers: how a publisher whose answer was lost finds
/// out about its change, from any node.
/// @returns known is false while no record with the id has been replayed
publish_answer answer_about(configuration const& current, change_id const& id);

/// @returns what GET /changes answers: the changes that replay remembers, in
/// order of offset
std::vector<history_entry> list_changes(configuration const& current);

} // namespace camphorpoint
