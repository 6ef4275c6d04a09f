#include "rosemarylink/standin/StandInInstances.h"

namespace rosemarylink::standin {

using transport::errorResponse;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::jsonResponse;

StandInInstances::StandInInstances(const Clock& clock, Milliseconds lag, Milliseconds expiry)
    : clock_(clock)
    , lag_(lag)
    , expiry_(expiry)
{
}

void StandInInstances::registerRoutes(transport::HttpRouter& router)
{
    router.add(
        "GET", "/instances", [this](const HttpRequest& request) { return transport::withEntityTag(request, list()); });
    router.add("PUT", "/instances/{id}", [this](const HttpRequest& request) { return announce(request); });
    router.add("DELETE", "/instances/{id}", [this](const HttpRequest& request) { return markLeaving(request); });
}

HttpResponse StandInInstances::announce(const HttpRequest& request)
{
    const auto entry = platform::parseInstanceEntry(nlohmann::json::parse(request.body, nullptr, false));
    if (!entry)
        return errorResponse(entry.error());
    if (entry.value().id.value() != request.parameters.at("id"))
        return errorResponse(invalidArgument("the id in the path differs from the id in the body"));
    const std::lock_guard lock(mutex_);
    entries_[entry.value().id] = { entry.value(), clock_.monotonic() };
    return jsonResponse(nlohmann::json::object());
}

HttpResponse StandInInstances::markLeaving(const HttpRequest& request)
{
    const std::lock_guard lock(mutex_);
    const auto position = entries_.find(InstanceId(request.parameters.at("id")));
    if (position == entries_.end())
        return errorResponse(makeError(ErrorCode::NotFound, "no such instance"));
    position->second.instance.leaving = true;
    return jsonResponse(nlohmann::json::object());
}

HttpResponse StandInInstances::list()
{
    const std::lock_guard lock(mutex_);
    const Milliseconds now = clock_.monotonic();
    if (!hasPublished_ || now - publishedAt_ >= lag_) {
        published_.clear();
        for (const auto& [id, entry] : entries_) {
            if (now - entry.announcedAt < expiry_)
                published_.push_back(entry.instance);
        }
        publishedAt_ = now;
        hasPublished_ = true;
    }
    nlohmann::json instances = nlohmann::json::array();
    for (const platform::InstanceEntry& instance : published_)
        instances.push_back(toJson(instance));
    return jsonResponse(instances);
}

} // namespace rosemarylink::standin
