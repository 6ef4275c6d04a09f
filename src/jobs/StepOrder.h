#pragma once

#include "Planner.h"

#include <vector>

// Load pattern: more work than the pool completes in time. Work that can still meet its objective goes first, work that
// can only end late follows, and work whose result has lost its value comes last, behind all other priorities, so that
// a backlog does not make the work behind it late as well. A bound on waiting keeps the last group from starving. Tasks
// that run until their job is cancelled have no objective; a failed one is started again before work that arrived
// later.
//
// With PlanInput::deferLargest, the steps of one priority that can still meet their objective are not all kept in the
// order of their objectives if too little capacity becomes free in time: the largest are deferred to the late ones, so
// that more callers are served in time; see DeadlineSelection.h.
namespace rosemarylink::jobs::internal {

// Returns the waiting steps in the order in which they are given capacity.
std::vector<const PlanStep*> orderSteps(const PlanInput&);

} // namespace rosemarylink::jobs::internal
