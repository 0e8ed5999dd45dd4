#pragma once

namespace camphorpoint {

/// Delivers the signals that tell a running node to stop or to read its
/// settings again. The launcher blocks them from the start of the process to
/// this call; those that came meanwhile are delivered by it.
void release_signals();

} // namespace camphorpoint
