// What a shard's table says to entry nodes.
#include "Keys/key_table.hpp"

namespace camphorpoint {

void key_table::send(node_id const& to, key_reply const& reply) {
    replies_.push_back({to, reply});
}

void key_table::reply(
    node_id const& to, key_permission_request const& ask, key_verdict what,
    reason why) {
    key_reply said;
    said.request = ask.request;
    said.attempt = ask.attempt;
    said.shard = shard_;
    said.verdict = what;
    said.why = why;
    said.fencing = fencing_;
    said.retry_after = settings_.retry_after;
    send(to, said);
}

void key_table::reply_done(
    node_id const& to, request_id const& request, std::uint32_t attempt,
    entry const& known) {
    key_reply said;
    said.request = request;
    said.attempt = attempt;
    said.shard = shard_;
    said.verdict = key_verdict::answer;
    said.why =
        known.record.answer_kept ? reason::none : reason::key_answer_dropped;
    said.answer = known.record.answer;
    said.permission = known.record.permission;
    said.fencing = known.record.fencing;
    send(to, said);
}

void key_table::reply_run(entry const& known) {
    key_reply said;
    said.request = known.record.request;
    said.attempt = known.record.attempt;
    said.shard = shard_;
    said.verdict = key_verdict::run;
    said.permission = known.record.permission;
    said.fencing = known.record.fencing;
    send(known.record.entry, said);
}

} // namespace camphorpoint
