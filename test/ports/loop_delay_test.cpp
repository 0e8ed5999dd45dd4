#include "Ports/loop_delay.hpp"
#include "test/ports/loopback.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <thread>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using testing::loopback;

namespace {

constexpr milliseconds long_turn{200};
constexpr milliseconds late{100};

/// A loop whose delay is measured.
struct measured_loop {
    measured_loop() { delay.start(); }
    ~measured_loop() { delay.stop(); }
    measured_loop(measured_loop const&) = delete;
    measured_loop& operator=(measured_loop const&) = delete;

    void run_for(milliseconds time) {
        asio::steady_timer timer(loop.io(), time);
        bool passed = false;
        timer.async_wait([&](boost::system::error_code) { passed = true; });
        REQUIRE(loop.run_until([&] { return passed; }));
    }
    /// Runs long turns in a row, and ticks between them.
    void run_long_turns(int count) {
        for (int each = 0; each < count; ++each) {
            std::this_thread::sleep_for(long_turn);
            loop.io().restart();
            loop.io().poll();
        }
    }
    duration current() const { return delay.current(boot_clock::now()); }
    duration sustained() const { return delay.sustained(boot_clock::now()); }

    loopback loop;
    loop_delay delay{loop.io()};
};

} // namespace

TEST_CASE("a loop's delay is sustained when turn after turn is late") {
    measured_loop measured;
    measured.run_for(milliseconds(100));
    CHECK(measured.sustained() < late);

    SUBCASE("not after one long turn") {
        measured.run_long_turns(1);
        CHECK(measured.current() > late);
        CHECK(measured.sustained() < late);
    }
    SUBCASE("not within one long turn") {
        std::this_thread::sleep_for(long_turn);
        CHECK(measured.current() > late);
        CHECK(measured.sustained() < late);
    }
    SUBCASE("after two") {
        measured.run_long_turns(2);
        CHECK(measured.sustained() > late);
    }
    SUBCASE("within the second one") {
        measured.run_long_turns(1);
        std::this_thread::sleep_for(long_turn);
        CHECK(measured.sustained() > late);
    }
    SUBCASE("no longer when the loop is on time again") {
        measured.run_long_turns(3);
        measured.run_for(milliseconds(100));
        CHECK(measured.sustained() < late);
    }
}

} // namespace camphorpoint
