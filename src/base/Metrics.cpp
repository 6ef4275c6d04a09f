#include "rosemarylink/base/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <sstream>

namespace rosemarylink {

namespace accumulators = boost::accumulators;

// The tail cache holds the whole window, so the quantiles are exact.
struct Distribution::Window {
    using Accumulator = accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::tail_quantile<accumulators::right>>>;

    Accumulator samples { accumulators::tag::tail<accumulators::right>::cache_size = windowSize };
    std::size_t size = 0;

    double quantile(double probability) const
    {
        if (size == 0)
            return 0;
        return accumulators::quantile(samples, accumulators::quantile_probability = probability);
    }
};

Distribution::Distribution()
    : current_(std::make_unique<Window>())
{
}

Distribution::~Distribution() = default;

void Distribution::record(double sample)
{
    const std::lock_guard lock(mutex_);
    current_->samples(sample);
    ++count_;
    sum_ += sample;
    if (++current_->size == windowSize) {
        complete_ = std::move(current_);
        current_ = std::make_unique<Window>();
    }
}

Distribution::Summary Distribution::summary() const
{
    const std::lock_guard lock(mutex_);
    const Window& window = complete_ ? *complete_ : *current_;
    return { count_, sum_, window.quantile(0.5), window.quantile(0.99) };
}

namespace {

    std::string escapeLabel(const std::string& value)
    {
        std::string escaped;
        for (const char character : value) {
            if (character == '\\' || character == '"')
                escaped += '\\';
            if (character == '\n')
                escaped += "\\n";
            else
                escaped += character;
        }
        return escaped;
    }

    std::string renderLabels(const MetricLabels& labels)
    {
        std::string text;
        for (const auto& [key, value] : labels) {
            if (!text.empty())
                text += ",";
            text.append(key).append("=\"").append(escapeLabel(value)).append("\"");
        }
        return text;
    }

    std::string braced(const std::string& labels) { return labels.empty() ? "" : "{" + labels + "}"; }

    std::string withQuantile(const std::string& labels, const char* quantile)
    {
        return "{" + labels + (labels.empty() ? "" : ",") + "quantile=\"" + quantile + "\"}";
    }

    template <typename Families> void renderPlain(std::ostringstream& out, const Families& families, const char* type)
    {
        for (const auto& [name, family] : families) {
            out << "# HELP " << name << " " << family.help << "\n# TYPE " << name << " " << type << "\n";
            for (const auto& [labels, metric] : family.members)
                out << name << braced(labels) << " " << metric->value() << "\n";
        }
    }

} // namespace

template <typename Metric>
Metric& MetricsRegistry::find(std::map<std::string, Family<Metric>>& families, const std::string& name,
    const std::string& help, const MetricLabels& labels)
{
    const std::lock_guard lock(mutex_);
    Family<Metric>& family = families[name];
    family.help = help;
    std::unique_ptr<Metric>& metric = family.members[renderLabels(labels)];
    if (!metric)
        metric = std::make_unique<Metric>();
    return *metric;
}

Counter& MetricsRegistry::counter(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return find(counters_, name, help, labels);
}

Gauge& MetricsRegistry::gauge(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return find(gauges_, name, help, labels);
}

Distribution& MetricsRegistry::distribution(
    const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return find(distributions_, name, help, labels);
}

std::string MetricsRegistry::renderPrometheus() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    out.precision(15); // byte counts must not be rounded
    renderPlain(out, counters_, "counter");
    renderPlain(out, gauges_, "gauge");
    for (const auto& [name, family] : distributions_) {
        out << "# HELP " << name << " " << family.help << "\n# TYPE " << name << " summary\n";
        for (const auto& [labels, metric] : family.members) {
            const Distribution::Summary summary = metric->summary();
            out << name << withQuantile(labels, "0.5") << " " << summary.p50 << "\n";
            out << name << withQuantile(labels, "0.99") << " " << summary.p99 << "\n";
            out << name << "_sum" << braced(labels) << " " << summary.sum << "\n";
            out << name << "_count" << braced(labels) << " " << summary.count << "\n";
        }
    }
    return out.str();
}

} // namespace rosemarylink
