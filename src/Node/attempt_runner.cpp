#include "Node/attempt_runner.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <exception>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

// The first token counts for a histogram; the later ones only tell how far a
// stream has come, so that not each of 15,000 tokens a second is an event.
constexpr std::uint32_t progress_step = 32;

} // namespace

struct attempt_runner::running_attempt {
    running_attempt(
        asio::any_io_executor executor, http_pool& pool, start_attempt start)
        : what(std::move(start))
        , http(std::move(executor), &pool) {}

    start_attempt what;
    http_call http;
    caller_interface::call_ptr caller;
    std::uint32_t noted = 0;
    bool any_noted = false;
    bool cancelled = false;
};

attempt_runner::attempt_runner(
    asio::any_io_executor executor, http_pool& pool, engine_http& engines,
    call_finder find, event_sink events)
    : executor_(std::move(executor))
    , pool_(&pool)
    , engines_(&engines)
    , find_(std::move(find))
    , events_(std::move(events)) {}

void attempt_runner::start(start_attempt what) {
    attempt_id id{what.id, what.attempt};
    auto attempt =
        std::make_shared<running_attempt>(executor_, *pool_, std::move(what));
    attempt->caller = find_(attempt->what.id);
    running_[std::move(id)] = attempt;
    asio::co_spawn(executor_, run(std::move(attempt)), asio::detached);
}

void attempt_runner::cancel(cancel_attempt const& what) {
    auto const found = running_.find({what.id, what.attempt});
    if (found == running_.end() || found->second->cancelled) {
        return;
    }
    running_attempt& attempt = *found->second;
    attempt.cancelled = true;
    attempt.http.cancel();
    if (attempt.what.kind == endpoint_kind::engine && !what.keep_for_resume) {
        tell_engine_to_stop(attempt.what);
    }
}

void attempt_runner::tell_engine_to_stop(start_attempt const& what) {
    asio::co_spawn(
        executor_, engines_->cancel_stream(what.address, what.engine_id),
        asio::detached);
}

asio::awaitable<void> attempt_runner::run(running_ptr attempt) {
    attempt_ended end;
    bool const may_run = attempt->caller != nullptr && !attempt->cancelled &&
                         attempt->caller->begin_attempt(attempt->what);
    if (!may_run) {
        // That nobody waits any more says nothing of the endpoint.
        bool const unwanted = attempt->caller == nullptr || attempt->cancelled;
        end.how =
            unwanted ? attempt_result::cancelled : attempt_result::not_sent;
    } else {
        try {
            if (attempt->what.kind == endpoint_kind::engine) {
                end = co_await run_engine(attempt);
            } else {
                end = co_await run_service(attempt);
            }
        } catch (std::exception const&) {
            // Out of memory, as a rule. Whether the request ran isn't known.
            end.how = attempt_result::truncated;
        }
    }
    end.id = attempt->what.id;
    end.attempt = attempt->what.attempt;
    if (attempt->caller != nullptr) {
        end.tokens = attempt->caller->delivered();
        end.received = attempt->caller->received();
    }
    end.trace = attempt->http.trace();
    running_.erase({end.id, end.attempt});
    events_(std::move(end));
}

void attempt_runner::note_progress(running_attempt const& attempt) {
    attempt_progress progress;
    progress.id = attempt.what.id;
    progress.attempt = attempt.what.attempt;
    progress.tokens = attempt.caller->delivered();
    events_(progress);
}

asio::awaitable<attempt_ended> attempt_runner::run_engine(running_ptr attempt) {
    start_attempt const& what = attempt->what;
    engine_request request;
    request.address = what.address;
    request.id = what.engine_id;
    request.adapter = what.adapter;
    request.how_urgent = what.how_urgent;
    request.body = attempt->caller->body();
    request.from_token = what.from_token;
    request.resume = request.body.empty();
    request.send_before = what.send_before;
    request.deadline = what.deadline;
    engine_sink sink =
        [this, attempt](engine_piece const& piece) -> asio::awaitable<bool> {
        bool const wanted = co_await attempt->caller->put(piece);
        bool const step = piece.tokens >= attempt->noted + progress_step;
        if (wanted && (!attempt->any_noted || step)) {
            attempt->any_noted = true;
            attempt->noted = piece.tokens;
            note_progress(*attempt);
        }
        co_return wanted;
    };
    engine_stream_end const got = co_await engines_->run(
        attempt->http, std::move(request), std::move(sink));
    if (got.how == attempt_result::timed_out) {
        // The engine takes a closed connection for one that may be resumed.
        tell_engine_to_stop(what);
    }
    attempt_ended end;
    end.how = got.how;
    end.status = got.status;
    end.notice = got.notice;
    if (got.how == attempt_result::completed && what.return_answer) {
        end.answer = attempt->caller->whole_answer();
    }
    co_return end;
}

asio::awaitable<attempt_ended>
attempt_runner::run_service(running_ptr attempt) {
    start_attempt const& what = attempt->what;
    service_call request;
    request.address = what.address;
    request.id = what.engine_id.empty() ? what.id : what.engine_id;
    request.key = attempt->caller->key();
    request.body = attempt->caller->body();
    request.send_before = what.send_before;
    request.deadline = what.deadline;
    service_call_end got =
        co_await services_.run(attempt->http, std::move(request));
    attempt_ended end;
    end.how = got.how;
    end.status = got.status;
    end.notice = got.notice;
    if (got.how == attempt_result::completed) {
        attempt->caller->put_answer(std::move(got.answer));
        end.answer = what.return_answer ? attempt->caller->whole_answer() : "";
    }
    co_return end;
}

} // namespace camphorpoint
