#pragma once

#include "PolicyFleetFake.h"
#include "PolicyMeasures.h"

#include "rosemarylink/base/Units.h"

#include <map>
#include <optional>
#include <vector>

namespace rosemarylink::bench {

// Watches from outside whether guarantees are honoured: while a guaranteed shape has an idle gang and a job of its
// account that fits the shape waits, such a job has to start within the limit.
class PolicyGuaranteeWatch {
public:
    // The longest stop of the simulation, 40 s, and a launch, with a margin.
    static constexpr Milliseconds limit { 60000 };

    PolicyGuaranteeWatch(const model::Declarations&, PolicyMeasures&);

    // The shapes that the job fits, by index.
    std::vector<std::size_t> shapesFor(const model::JobSpec&) const;

    void jobWaits(const model::JobSpec&, const std::vector<std::size_t>& shapes);
    void jobNoLongerWaits(const model::JobSpec&, const std::vector<std::size_t>& shapes);
    void gangPlaced(const model::JobSpec&, const RegionId&, bool borrowed);
    void gangEnded(const model::JobSpec&, const RegionId&, bool borrowed);
    void startedFrom(const std::vector<std::size_t>& shapes, Timestamp);

    // After a change of the workers that can run tasks; shapes that no longer fit are not watched until they fit again.
    void fleetChanged(const std::vector<model::WorkerSpec>& soundWorkers, Timestamp);

    void check(Timestamp);

private:
    struct Shape {
        model::GuaranteedShape declared;
        std::int64_t waiting = 0;
        std::int64_t inUse = 0;
        bool feasible = true;
        std::optional<Timestamp> owedSince;
    };
    bool isOwed(const Shape&) const;
    void count(const model::JobSpec&, const RegionId&, bool borrowed, int sign);

    std::vector<Shape> shapes_;
    std::map<std::string, std::int64_t> quotaLeft_; // accelerators, by account
    PolicyMeasures& measures_;
};

} // namespace rosemarylink::bench
