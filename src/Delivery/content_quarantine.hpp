#pragma once

#include "Core/time.hpp"
#include "Delivery/content_digest.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// What a node knows of one content, to be told and to be kept.
struct quarantine_word {
    content_digest content{};
    /// Counts the changes: odd while the content is not run, even once it is
    /// run again. Of two words the higher one holds.
    std::uint32_t turn = 0;
    /// How long it holds from now.
    duration left{0};

    /// @returns true while the content is not to be run
    bool held() const noexcept { return turn % 2 == 1; }
};

/// Contents that end the replicas which run them (a query of death). Guards
/// against replicas that end one after the other: the request is tried
/// elsewhere, its caller sends it again under a new id to any node, and each
/// time all others' runs at that replica break off too. It holds because ends
/// are counted by content, each replica once, and a content under which three
/// have ended is run nowhere.
///
/// Runs of others break off with it and are counted likewise. They differ in
/// that they end well elsewhere: that clears them.
class content_quarantine {
public:
    /// A replica ended, or broke its answer off, while it ran the content.
    /// @param replica its short name, another one for each start
    /// @returns the word to tell when the content is not run from now on
    std::optional<quarantine_word>
    note_end(content_digest content, std::uint64_t replica, instant now);
    /// A run of the content ended well.
    /// @returns the word to tell when the content is run again by this
    std::optional<quarantine_word> note_whole(content_digest content);
    /// Takes another node's word, or one that was kept.
    /// @returns true when it is news
    bool take(quarantine_word const& word, instant now);

    /// @returns true when a replica has ended while it ran the content, which
    ///          has not ended well since
    bool suspected(content_digest content) const {
        return evidence_.contains(content);
    }
    /// @returns for how long the content is not run, nothing when it may run
    std::optional<duration> held_for(content_digest content, instant now) const;
    /// @returns some of the words, by turns, so that whoever has missed one
    ///          hears it again
    std::vector<quarantine_word> some(std::size_t most, instant now);
    /// @returns all words
    std::vector<quarantine_word> all(instant now) const;
    /// @returns contents that are not run
    std::size_t held(instant now) const;
    /// Drops what has lasted long enough.
    void forget_old(instant now);

private:
    struct evidence {
        std::vector<std::uint64_t> replicas;
        instant newest;
    };
    struct known {
        std::uint32_t turn = 0;
        instant until;
    };
    static quarantine_word
    word_of(content_digest content, known const& of, instant now);
    void make_room();

    std::unordered_map<content_digest, evidence> evidence_;
    std::map<content_digest, known> known_;
    content_digest told_last_{};
};

} // namespace camphorpoint
