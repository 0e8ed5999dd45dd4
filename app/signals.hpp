#pragma once

namespace camphorpoint {

/// Blocks the signals that tell a running node to stop or to read its settings
/// again. One that comes is delivered by release_signals.
void hold_signals();
/// Delivers signals from here on.
void release_signals();

} // namespace camphorpoint
