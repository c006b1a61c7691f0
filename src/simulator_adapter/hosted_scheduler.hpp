/// Selects the scheduler that the adapter hosts: one that records its calls if PLUMKEEL_TRACED is defined, else a plain
/// one. Both headers define `HostedScheduler` and `make_scheduler()`.
#pragma once

#ifdef PLUMKEEL_TRACED
#include "simulator_adapter/recording_scheduler.hpp"
#else
#include "simulator_adapter/plain_scheduler.hpp"
#endif
