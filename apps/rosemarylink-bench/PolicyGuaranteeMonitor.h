#pragma once

#include "PolicyFleet.h"
#include "PolicyMeasures.h"

#include "rosemarylink/base/Units.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace rosemarylink::bench {

// Checks that guarantees are served, independently of the policy: while a guaranteed shape has an idle gang and a job
// of its account that fits the shape is waiting, such a job must start within maxStartDelay.
class PolicyGuaranteeMonitor {
public:
    // The longest stop in the simulation takes 40 s; the rest covers a launch and a margin.
    static constexpr Milliseconds maxStartDelay { 60000 };

    PolicyGuaranteeMonitor(const model::Declarations&, const std::vector<model::WorkerSpec>&, PolicyMeasures&);

    // The indices of the shapes that the job fits.
    std::vector<std::size_t> shapesFor(const model::JobSpec&) const;

    void jobQueued(const model::JobSpec&, const std::vector<std::size_t>& shapes);
    void jobDequeued(const model::JobSpec&, const std::vector<std::size_t>& shapes);
    void gangPlaced(const model::JobSpec&, const RegionId&, bool borrowed);
    void gangEnded(const model::JobSpec&, const RegionId&, bool borrowed);
    void jobStarted(const std::vector<std::size_t>& shapes, Timestamp);

    // Must be called after each change of the eligible workers. Shapes that no longer fit are not checked until they
    // fit again.
    void fleetChanged(const std::vector<model::WorkerSpec>& eligibleWorkers);

    // Whether the policy reports the shape as not reclaimable. Only used where workers of the region are not eligible.
    using IsAtRisk = std::function<bool(const model::GuaranteedShape&)>;
    void check(Timestamp, const IsAtRisk&);

private:
    struct Shape {
        model::GuaranteedShape declared;
        std::int64_t waiting = 0;
        std::int64_t inUse = 0;
        bool feasible = true;
        bool isRegionEligible = true;
        std::optional<Timestamp> unservedSince;
    };
    bool isUnserved(const Shape&) const;
    void count(const model::JobSpec&, const RegionId&, bool borrowed, int sign);

    std::vector<Shape> shapes_;
    std::map<std::string, std::size_t> workersByRegion_;
    std::map<std::string, std::int64_t> quotaLeft_; // accelerators, by account
    PolicyMeasures& measures_;
};

} // namespace rosemarylink::bench
