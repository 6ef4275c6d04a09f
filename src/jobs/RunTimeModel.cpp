#include "RunTimeModel.h"

#include <algorithm>
#include <cmath>

namespace rosemarylink::jobs::internal {

namespace {

    constexpr int minimumObservations = 8;
    constexpr int memory = 64; // observations over which the averages extend

} // namespace

void RunTimeModel::Average::add(double value, double weight)
{
    const double difference = value - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
}

void RunTimeModel::observe(const QueueId& queue, Milliseconds declared, Milliseconds observed)
{
    if (declared <= Milliseconds(0) || observed <= Milliseconds(0))
        return;
    QueueHistory& history = queues_[queue];
    history.count = std::min(history.count + 1, memory);
    const double weight = 1.0 / history.count;
    const double logObserved = std::log(static_cast<double>(observed.count()));
    history.logObserved.add(logObserved, weight);
    history.logError.add(logObserved - std::log(static_cast<double>(declared.count())), weight);
}

Milliseconds RunTimeModel::predict(const QueueId& queue, Milliseconds declared) const
{
    const auto position = queues_.find(queue);
    if (position == queues_.end() || position->second.count < minimumObservations || declared <= Milliseconds(0))
        return declared;
    const QueueHistory& history = position->second;
    const double logTime = history.logError.variance < history.logObserved.variance
        ? std::log(static_cast<double>(declared.count())) + history.logError.mean
        : history.logObserved.mean;
    return Milliseconds(std::lround(std::exp(logTime)));
}

} // namespace rosemarylink::jobs::internal
