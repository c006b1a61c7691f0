/// All types that a host shares with the scheduler. Plain data: nothing is decided here.
#pragma once

#include "scheduler/actions.hpp"
#include "scheduler/deployment.hpp"
#include "scheduler/function.hpp"
#include "scheduler/invoker.hpp"
#include "scheduler/request.hpp"
#include "scheduler/time.hpp"
