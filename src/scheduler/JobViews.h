#pragma once

#include "rosemarylink/generated/Api.h"
#include "rosemarylink/state/CellController.h"

namespace rosemarylink::scheduler::internal {

// Conversions to the types of the operator API.
api::JobView toJobView(const CellId&, const state::JobStatus&);

api::JobState toApiState(const state::JobStatus&);

api::CellView toCellView(const state::CellSnapshot&);

} // namespace rosemarylink::scheduler::internal
