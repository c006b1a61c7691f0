/// Includes all types that a host shares with the scheduler. They are plain data without decisions.
#pragma once

#include "scheduler/actions.hpp"
#include "scheduler/deployment.hpp"
#include "scheduler/function.hpp"
#include "scheduler/invoker.hpp"
#include "scheduler/request.hpp"
#include "scheduler/time.hpp"
