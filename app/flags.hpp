#pragma once

#include <absl/flags/declare.h>
#include <absl/time/time.h>

#include <string>
#include <vector>

// Flags that more than one command heeds.
ABSL_DECLARE_FLAG(std::string, settings);
ABSL_DECLARE_FLAG(std::string, node);
ABSL_DECLARE_FLAG(std::vector<std::string>, nodes);
ABSL_DECLARE_FLAG(bool, prune);
ABSL_DECLARE_FLAG(absl::Duration, wait);
ABSL_DECLARE_FLAG(absl::Duration, timeout);
