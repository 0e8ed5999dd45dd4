#pragma once

#include <cstdint>
#include <vector>

namespace camphorpoint {

/// To the nodes that count a content: an endpoint ended while it ran it.
struct content_ended {
    std::uint64_t content = 0;
    /// Hash of the endpoint's name.
    std::uint64_t endpoint = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(content, endpoint);
    }
};

/// To the nodes that count a content: a run of it ended well.
struct content_served {
    std::uint64_t content = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(content);
    }
};

/// A quarantine_word as nodes tell it.
struct told_content {
    std::uint64_t content = 0;
    std::uint32_t turn = 0;
    std::uint64_t left_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(content, turn, left_ms);
    }
};

/// Contents that are not run, or are run again.
struct content_words {
    std::vector<told_content> words;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(words);
    }
};

/// A node that has begun asks for all that another one knows.
struct content_ask {
    template <class Archive>
    void serialize(Archive& /*archive*/) {}
};

} // namespace camphorpoint
