/// The scheduler that the adapter hosts: plain, or recording its calls if built with PLUMKEEL_TRACED. Both define
/// `HostedScheduler` and `make_scheduler()`.
#pragma once

#ifdef PLUMKEEL_TRACED
#include "simulator_adapter/recording_scheduler.hpp"
#else
#include "simulator_adapter/plain_scheduler.hpp"
#endif
