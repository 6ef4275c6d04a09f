#pragma once

#include "PolicyFleetFake.h"
#include "PolicyMeasures.h"

#include "rosemarylink/base/Units.h"

#include <functional>
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

    PolicyGuaranteeWatch(const model::Declarations&, const std::vector<model::WorkerSpec>&, PolicyMeasures&);

    // The shapes that the job fits, by index.
    std::vector<std::size_t> shapesFor(const model::JobSpec&) const;

    void jobWaits(const model::JobSpec&, const std::vector<std::size_t>& shapes);
    void jobNoLongerWaits(const model::JobSpec&, const std::vector<std::size_t>& shapes);
    void gangPlaced(const model::JobSpec&, const RegionId&, bool borrowed);
    void gangEnded(const model::JobSpec&, const RegionId&, bool borrowed);
    void startedFrom(const std::vector<std::size_t>& shapes, Timestamp);

    // After a change of the workers that can run tasks; shapes that no longer fit are not watched until they fit again.
    void fleetChanged(const std::vector<model::WorkerSpec>& soundWorkers);

    // Asks whether the policy reports a shape as not reclaimable; that counts only where workers are lost.
    using AtRisk = std::function<bool(const model::GuaranteedShape&)>;
    void check(Timestamp, const AtRisk&);

private:
    struct Shape {
        model::GuaranteedShape declared;
        std::int64_t waiting = 0;
        std::int64_t inUse = 0;
        bool feasible = true;
        bool regionIsWhole = true;
        std::optional<Timestamp> owedSince;
    };
    bool isOwed(const Shape&) const;
    void count(const model::JobSpec&, const RegionId&, bool borrowed, int sign);

    std::vector<Shape> shapes_;
    std::map<std::string, std::size_t> workersByRegion_;
    std::map<std::string, std::int64_t> quotaLeft_; // accelerators, by account
    PolicyMeasures& measures_;
};

} // namespace rosemarylink::bench
