#include "rosemarylink/standin/StandInFleet.h"

namespace rosemarylink::standin {

namespace {

    struct Place {
        std::string region;
        std::string failureDomain;
    };

    std::vector<Place> makePlaces(const settings_standin::StandInSettings& settings)
    {
        std::vector<Place> places;
        for (const std::string& region : settings.regions) {
            for (std::int64_t number = 1; number <= settings.failureDomains; ++number)
                places.push_back({ region, region + "-" + std::to_string(number) });
        }
        return places;
    }

    std::string padded(std::int64_t number, std::size_t width)
    {
        const std::string text = std::to_string(number);
        return std::string(text.size() < width ? width - text.size() : 0, '0') + text;
    }

} // namespace

std::vector<model::WorkerSpec> makeWorkers(const settings_standin::StandInSettings& settings)
{
    const std::vector<Place> places = makePlaces(settings);
    std::vector<model::WorkerSpec> workers;
    std::vector<std::int64_t> workersInPlace(places.size(), 0);
    for (std::int64_t number = 0; number < settings.workers; ++number) {
        const std::size_t placeIndex = static_cast<std::size_t>(number) % places.size();
        const Place& place = places[placeIndex];
        const std::int64_t rack = workersInPlace[placeIndex]++ / settings.workersPerRack;
        model::WorkerSpec worker;
        worker.id = WorkerId("w" + padded(number, 4));
        worker.rack = RackId(place.failureDomain + "-r" + padded(rack, 3));
        worker.failureDomain = FailureDomainId(place.failureDomain);
        worker.region = RegionId(place.region);
        worker.capacity = { Cores(settings.cores), Megabytes(settings.memory), Accelerators(settings.accelerators) };
        workers.push_back(worker);
    }
    return workers;
}

std::vector<model::UpstreamSpec> makeUpstreams(
    const settings_standin::StandInSettings& settings, const std::string& address)
{
    const std::vector<Place> places = makePlaces(settings);
    std::vector<model::UpstreamSpec> upstreams;
    for (std::int64_t number = 0; number < settings.count && !settings.services.empty(); ++number) {
        const auto index = static_cast<std::size_t>(number);
        // Services alternate within each place, so that every region serves all of them.
        const Place& place = places[index % places.size()];
        model::UpstreamSpec upstream;
        upstream.id = UpstreamId("u" + padded(number, 3));
        upstream.service = ServiceId(settings.services[index / places.size() % settings.services.size()]);
        upstream.address = address + "/u/" + upstream.id.value();
        upstream.slots = settings.slots;
        upstream.connections = settings.connections;
        upstream.region = RegionId(place.region);
        upstream.failureDomain = FailureDomainId(place.failureDomain);
        upstreams.push_back(upstream);
    }
    return upstreams;
}

} // namespace rosemarylink::standin
