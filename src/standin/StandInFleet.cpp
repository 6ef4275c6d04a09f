#include "rosemarylink/standin/StandInFleet.h"

namespace rosemarylink::standin {

namespace {

    struct Location {
        std::string region;
        std::string failureDomain;
    };

    std::vector<Location> makeLocations(const settings_standin::StandInSettings& settings)
    {
        std::vector<Location> locations;
        for (const std::string& region : settings.regions) {
            for (std::int64_t number = 1; number <= settings.failureDomains; ++number)
                locations.push_back({ region, region + "-" + std::to_string(number) });
        }
        return locations;
    }

    std::string padded(std::int64_t number, std::size_t width)
    {
        const std::string text = std::to_string(number);
        return std::string(text.size() < width ? width - text.size() : 0, '0') + text;
    }

} // namespace

std::vector<model::WorkerSpec> makeWorkers(const settings_standin::StandInSettings& settings)
{
    const std::vector<Location> locations = makeLocations(settings);
    std::vector<model::WorkerSpec> workers;
    std::vector<std::int64_t> workersAtLocation(locations.size(), 0);
    for (std::int64_t number = 0; number < settings.workers; ++number) {
        const std::size_t locationIndex = static_cast<std::size_t>(number) % locations.size();
        const Location& location = locations[locationIndex];
        const std::int64_t rack = workersAtLocation[locationIndex]++ / settings.workersPerRack;
        model::WorkerSpec worker;
        worker.id = WorkerId("w" + padded(number, 4));
        worker.rack = RackId(location.failureDomain + "-r" + padded(rack, 3));
        worker.failureDomain = FailureDomainId(location.failureDomain);
        worker.region = RegionId(location.region);
        worker.capacity = { Cores(settings.cores), Megabytes(settings.memory), Accelerators(settings.accelerators) };
        workers.push_back(worker);
    }
    return workers;
}

std::vector<model::UpstreamSpec> makeUpstreams(
    const settings_standin::StandInSettings& settings, const std::string& address)
{
    const std::vector<Location> locations = makeLocations(settings);
    std::vector<model::UpstreamSpec> upstreams;
    for (std::int64_t number = 0; number < settings.count && !settings.services.empty(); ++number) {
        const auto index = static_cast<std::size_t>(number);
        // Services alternate within each location, so that every region has upstreams of all services.
        const Location& location = locations[index % locations.size()];
        model::UpstreamSpec upstream;
        upstream.id = UpstreamId("u" + padded(number, 3));
        upstream.service = ServiceId(settings.services[index / locations.size() % settings.services.size()]);
        upstream.address = address + "/u/" + upstream.id.value();
        upstream.slots = settings.slots;
        upstream.connections = settings.connections;
        upstream.region = RegionId(location.region);
        upstream.failureDomain = FailureDomainId(location.failureDomain);
        upstreams.push_back(upstream);
    }
    return upstreams;
}

} // namespace rosemarylink::standin
