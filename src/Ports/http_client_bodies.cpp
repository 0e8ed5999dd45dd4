#include "Ports/async_signal.hpp"
#include "Ports/http_client.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

/// In bytes. A body is allocated in steps that double from here on, so that one
/// of the largest length takes no more than its length.
constexpr std::size_t first_step = std::size_t{16} << 10U;
/// A call that waits for memory may have been cancelled meanwhile.
constexpr std::chrono::milliseconds cancel_check{50};

/// The memory of a body that is being read.
class body_memory {
public:
    explicit body_memory(http_call& call)
        : call_(&call)
        , close_at_(
              std::min(call.close_at(), boot_clock::now() + longest_answer))
        , signal_(std::make_shared<async_signal>(call.executor())) {
        if (call.budget() != nullptr) {
            share_ = std::make_shared<answer_budget::share>(
                *call.budget(), call.server(),
                answer_budget::share::callbacks{
                    [&call, signal = signal_] {
                        call.reject();
                        signal->notify();
                    },
                    [signal = signal_] {
                        signal->notify();
                    }});
        }
    }

    /// Makes room for more text.
    /// @returns false when the call has ended
    asio::awaitable<bool> extend(std::string& text, std::size_t more) {
        std::size_t const needed = text.size() + more;
        if (needed <= allocated_) {
            co_return true;
        }
        std::size_t const wanted =
            std::max({needed, first_step, 2 * allocated_});
        bool const granted = co_await obtain(wanted);
        if (granted) {
            allocated_ = wanted;
            text.reserve(wanted);
        }
        co_return granted;
    }
    std::shared_ptr<void const> complete() {
        if (share_ != nullptr) {
            share_->complete();
        }
        return share_;
    }

private:
    asio::awaitable<bool> obtain(std::size_t bytes) {
        auto const signal = signal_;
        while (share_ != nullptr && !share_->grow(bytes)) {
            instant const now = boot_clock::now();
            if (call_->invalid() || call_->cancelled() || now >= close_at_) {
                co_return false;
            }
            co_await signal->wait_until(
                std::min(close_at_, now + cancel_check));
        }
        co_return true;
    }

    http_call* call_;
    instant close_at_;
    std::shared_ptr<async_signal> signal_;
    std::shared_ptr<answer_budget::share> share_;
    std::size_t allocated_ = 0;
};

} // namespace

asio::awaitable<bool>
read_body(http_call& call, kept_body& body, body_terms const& terms) {
    body_memory memory(call);
    while (auto const piece = co_await call.next_piece()) {
        if (piece->empty()) {
            body.memory = memory.complete();
            co_return true;
        }
        if (terms.progress) {
            terms.progress(piece->size());
        }
        if (body.text.size() + piece->size() > terms.largest) {
            call.reject();
            break;
        }
        bool const extended = co_await memory.extend(body.text, piece->size());
        if (!extended) {
            break;
        }
        body.text += *piece;
    }
    if (call.invalid()) {
        body = {};
    } else {
        body.memory = memory.complete();
    }
    co_return false;
}

asio::awaitable<fetch_result> fetch(
    http_call& call, ip_address to, http_request request, call_times times,
    std::size_t largest) {
    fetch_result result;
    result.how = co_await call.open(std::move(to), std::move(request), times);
    if (result.how != call_result::answered) {
        co_return result;
    }
    result.how = call_result::lost;
    result.response.status = call.status();
    result.response.fields = call.fields();
    kept_body body;
    body_terms terms;
    terms.largest = largest;
    bool const whole = co_await read_body(call, body, terms);
    if (whole) {
        result.how = call_result::answered;
    }
    result.response.body = std::move(body.text);
    result.response.memory = std::move(body.memory);
    co_return result;
}

asio::awaitable<fetch_result> fetch(
    asio::any_io_executor executor, ip_address to, http_request request,
    std::chrono::milliseconds timeout) {
    http_call call(std::move(executor));
    call_times times = short_call_times(timeout);
    times.close_at += longest_answer;
    co_return co_await fetch(call, std::move(to), std::move(request), times);
}

} // namespace camphorpoint
