#pragma once

#include "Serving/request_environment.hpp"
#include "Serving/request_tracker.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint::test {

using std::chrono::milliseconds;

/// A request's surroundings that do as a test says and remember what was asked
/// of them.
struct scripted_environment {
    profile what;
    log_offset configuration{7};
    std::vector<endpoint_id> endpoints{endpoint_id("e1"), endpoint_id("e2")};
    bool needs_grant = true;
    bool owner_reachable = true;
    bool retry_left = true;
    /// Other nodes count the ends of attempts.
    bool word_comes = false;
    /// For how long the content is not run.
    std::optional<duration> held;
    std::vector<node_action> actions;
    std::vector<owner_message> told;
    std::vector<outcome> keys_ended;
    std::size_t keys_asked = 0;
    std::size_t keys_withdrawn = 0;

    admission admit(profile_name const& /*name*/, instant /*now*/) const {
        return {reason::none, what, configuration, {}};
    }
    route choose(live_request const& request, instant /*now*/) const {
        for (endpoint_id const& each : endpoints) {
            if (std::ranges::find(request.tried, each) == request.tried.end()) {
                return {each, "address", needs_grant, reason::none, {}};
            }
        }
        return {{}, {}, true, reason::no_endpoint, {}};
    }
    std::string address_of(endpoint_id const& endpoint) const {
        return std::ranges::find(endpoints, endpoint) == endpoints.end()
                   ? ""
                   : "address";
    }
    bool take_retry(live_request const& /*request*/, instant /*now*/) const {
        return retry_left;
    }
    bool tell_owner(
        endpoint_id const& /*replica*/, owner_message const& message,
        instant /*now*/) {
        told.push_back(message);
        return owner_reachable;
    }
    void ask_key(live_request const& /*request*/, instant /*now*/) {
        ++keys_asked;
    }
    void withdraw_key(request_id const& /*id*/, instant /*now*/) {
        ++keys_withdrawn;
    }
    void key_ended(
        request_id const& /*id*/, outcome how, reason /*why*/,
        std::string const& /*answer*/, instant /*now*/) {
        keys_ended.push_back(how);
    }
    bool attempt_over(
        live_request const& /*request*/, attempt_ended const& /*end*/,
        instant /*now*/) {
        return word_comes;
    }
    std::optional<duration>
    held_for(live_request const& /*request*/, instant /*now*/) const {
        return held;
    }
    void submit_service(live_request const& /*request*/, instant /*now*/) {}
    void withdraw_service(live_request const& /*request*/) {}
    void act(node_action const& action) { actions.push_back(action); }

    /// @returns all actions of one kind, in order
    template <class Action>
    std::vector<Action> all() const {
        std::vector<Action> result;
        for (node_action const& each : actions) {
            if (auto const* const one = std::get_if<Action>(&each)) {
                result.push_back(*one);
            }
        }
        return result;
    }
    /// @returns how many messages of one kind the owners were told
    template <class Message>
    std::size_t told_of() const {
        auto const is = [](owner_message const& each) {
            return std::holds_alternative<Message>(each);
        };
        return static_cast<std::size_t>(std::ranges::count_if(told, is));
    }
    /// @returns how often something was dropped for a reason
    std::size_t dropped(reason why) const {
        std::size_t times = 0;
        for (count_reason const& each : all<count_reason>()) {
            bool const hit =
                each.what == count_reason::kind::dropped && each.why == why;
            times += hit ? 1 : 0;
        }
        return times;
    }
};

} // namespace camphorpoint::test
