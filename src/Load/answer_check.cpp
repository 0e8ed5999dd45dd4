#include "Load/answer_check.hpp"

#include "Load/expected_text.hpp"
#include "Operator/json_reading.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace camphorpoint {

std::string_view to_string(answer_fault fault) noexcept {
    switch (fault) {
    case answer_fault::none:
        return "none";
    case answer_fault::malformed:
        return "malformed";
    case answer_fault::wrong_adapter:
        return "wrong-adapter";
    case answer_fault::wrong_version:
        return "wrong-version";
    case answer_fault::wrong_text:
        return "wrong-text";
    case answer_fault::too_short:
        return "too-short";
    }
    return "none";
}

answer_check::answer_check(
    adapter_id adapter, std::vector<std::uint32_t> versions,
    std::uint64_t prompt, std::uint32_t tokens)
    : adapter_(std::move(adapter))
    , versions_(std::move(versions))
    , prompt_(prompt)
    , wanted_(tokens) {}

answer_fault answer_check::take(std::string_view data) {
    if (fault_ != answer_fault::none) {
        return fault_;
    }
    json_reading const chunk(data);
    auto const choices = chunk.objects("choices");
    if (!chunk.valid() || choices.empty()) {
        return fault_ = answer_fault::malformed;
    }
    fault_ = take_model(chunk.text("model"));
    if (fault_ == answer_fault::none) {
        fault_ = take_text(choices.front().object("delta").text("content"));
    }
    return fault_;
}

answer_fault answer_check::take_model(std::string_view model) {
    std::size_t const at = model.rfind('@');
    if (at == std::string_view::npos || model.substr(0, at) != adapter_.str()) {
        return answer_fault::wrong_adapter;
    }
    std::uint32_t version = 0;
    std::from_chars(
        model.data() + at + 1, model.data() + model.size(), version);
    // A version change in the run must not show inside an answer.
    bool const changed = version_ != 0 && version != version_;
    if (changed || std::ranges::find(versions_, version) == versions_.end()) {
        return answer_fault::wrong_version;
    }
    version_ = version;
    return answer_fault::none;
}

answer_fault answer_check::take_text(std::string_view text) {
    partial_ += text;
    while (!partial_.empty()) {
        std::string const next =
            expected_token({adapter_, version_}, prompt_, tokens_);
        std::size_t const length = std::min(next.size(), partial_.size());
        bool const right = partial_.compare(0, length, next, 0, length) == 0;
        if (!right || tokens_ >= wanted_) {
            return answer_fault::wrong_text;
        }
        if (partial_.size() < next.size()) {
            break;
        }
        partial_.erase(0, next.size());
        ++tokens_;
    }
    return answer_fault::none;
}

answer_fault answer_check::close() {
    if (fault_ == answer_fault::none &&
        (tokens_ != wanted_ || !partial_.empty())) {
        fault_ = answer_fault::too_short;
    }
    return fault_;
}

} // namespace camphorpoint
