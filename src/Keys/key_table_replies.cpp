// Replies of a shard's table to entry nodes.
#include "Keys/key_table.hpp"

namespace camphorpoint {

void key_table::send(node_id const& to, key_reply const& reply) {
    replies_.push_back({to, reply});
}

void key_table::reply(
    node_id const& to, key_permission_request const& message, key_verdict what,
    reason why) {
    key_reply reply_message;
    reply_message.request = message.request;
    reply_message.attempt = message.attempt;
    reply_message.shard = shard_;
    reply_message.verdict = what;
    reply_message.why = why;
    reply_message.fencing = fencing_;
    reply_message.retry_after = settings_.retry_after;
    send(to, reply_message);
}

void key_table::reply_done(
    node_id const& to, request_id const& request, std::uint32_t attempt,
    entry const& known) {
    key_reply reply_message;
    reply_message.request = request;
    reply_message.attempt = attempt;
    reply_message.shard = shard_;
    reply_message.verdict = key_verdict::answer;
    reply_message.why =
        known.record.answer_kept ? reason::none : reason::key_answer_dropped;
    reply_message.answer = known.record.answer;
    reply_message.permission = known.record.permission;
    reply_message.fencing = known.record.fencing;
    send(to, reply_message);
}

void key_table::reply_run(entry const& known) {
    key_reply reply_message;
    reply_message.request = known.record.request;
    reply_message.attempt = known.record.attempt;
    reply_message.shard = shard_;
    reply_message.verdict = key_verdict::run;
    reply_message.permission = known.record.permission;
    reply_message.fencing = known.record.fencing;
    send(known.record.entry_node, reply_message);
}

} // namespace camphorpoint
