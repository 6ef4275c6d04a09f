#pragma once

#include "rosemarylink/generated/Api.h"
#include "rosemarylink/state/CellController.h"

namespace rosemarylink::scheduler::internal {

// A cell's view of a job in the shape of the operators' interface.
api::JobView toJobView(const CellId&, const state::JobStatus&);

api::JobState toApiState(const state::JobStatus&);

api::CellView toCellView(const state::CellSnapshot&);

} // namespace rosemarylink::scheduler::internal
