#include "rosemarylink/jobs/JobMetrics.h"

#include "rosemarylink/jobs/Admission.h"

namespace rosemarylink::jobs {

namespace {

    const char* const stageMetric = "rosemarylink_job_leg_ms";
    const char* const stageHelp = "Duration of each leg of a job's way.";

    const char* outcomeName(AdmissionOutcome outcome)
    {
        switch (outcome) {
        case AdmissionOutcome::Accepted:
            return "accepted";
        case AdmissionOutcome::NotRun:
            return "not-run";
        case AdmissionOutcome::MayHaveRun:
            return "may-have-run";
        case AdmissionOutcome::Invalid:
            return "invalid";
        case AdmissionOutcome::NoQueue:
            return "no-queue";
        case AdmissionOutcome::NoKey:
            return "no-key";
        case AdmissionOutcome::NoJob:
            return "no-job";
        }
        return "not-run";
    }

} // namespace

JobMetrics::JobMetrics(MetricsRegistry& registry)
    : ownerships(registry.counter("rosemarylink_ownerships_total", "Times that this instance became the owner."))
    , silentWorkers(registry.counter("rosemarylink_silent_workers_total", "Times that a worker stopped answering."))
    , lostRuns(registry.counter("rosemarylink_lost_runs_total", "Runs that ended with their worker or its lease."))
    , movedStragglers(registry.counter("rosemarylink_moved_stragglers_total",
          "Tasks and gangs that were stopped on slow workers to go on elsewhere."))
    , oversizedRecords(registry.counter("rosemarylink_oversized_records_total",
          "Times that the progress record of a job came to exceed the store's limit on a value."))
    , accept(registry.distribution(stageMetric, stageHelp, { { "leg", "accept" } }))
    , handOver(registry.distribution(stageMetric, stageHelp, { { "leg", "hand-over" } }))
    , firstStart(registry.distribution(stageMetric, stageHelp, { { "leg", "first-start" } }))
    , startResponse(registry.distribution(stageMetric, stageHelp, { { "leg", "start-answer" } }))
    , storeWrite(registry.distribution(stageMetric, stageHelp, { { "leg", "store" } }))
    , completion(registry.distribution(stageMetric, stageHelp, { { "leg", "completion" } }))
    , registry_(registry)
{
}

void JobMetrics::countResponse(AdmissionOutcome outcome)
{
    registry_
        .counter("rosemarylink_caller_answers_total", "Answers to callers.", { { "outcome", outcomeName(outcome) } })
        .add();
}

void JobMetrics::countUnresolvedWrite(const std::string& result)
{
    registry_
        .counter("rosemarylink_unresolved_writes_total", "Submissions whose write got no response at first.",
            { { "result", result } })
        .add();
}

void JobMetrics::countEnd(RunEnd end)
{
    registry_
        .counter("rosemarylink_run_ends_total", "Ends of runs that the owner learned.",
            { { "end", std::string(runEndName(end)) } })
        .add();
}

void JobMetrics::countRefusedStart(CommandOutcome outcome)
{
    registry_
        .counter("rosemarylink_refused_starts_total", "Orders to start that a worker refused or left unanswered.",
            { { "outcome", std::string(commandOutcomeName(outcome)) } })
        .add();
}

void JobMetrics::countWithheldStep(const std::string& reason)
{
    registry_
        .counter("rosemarylink_withheld_step_seconds_total",
            "Seconds for which ready steps did not start although capacity for them was free.",
            { { "reason", reason } })
        .add();
}

void JobMetrics::countDutyRestart(const std::string& duty, const std::string& cause)
{
    registry_
        .counter("rosemarylink_duty_restarts_total",
            "Times that a duty of the owner was started again after an exception or a call without a response.",
            { { "duty", duty }, { "cause", cause } })
        .add();
}

void JobMetrics::setHeldJobs(std::size_t jobs, std::size_t bytes)
{
    registry_.gauge("rosemarylink_held_jobs", "Jobs that have not ended.").set(static_cast<double>(jobs));
    registry_.gauge("rosemarylink_held_job_bytes", "Estimated memory of the jobs that have not ended.")
        .set(static_cast<double>(bytes));
}

void JobMetrics::countRoomRefusal(const std::string& cause)
{
    registry_
        .counter("rosemarylink_refused_submissions_total",
            "Submissions that were refused because of the memory that jobs hold.", { { "cause", cause } })
        .add();
}

void JobMetrics::setSlowWorkers(std::size_t count)
{
    registry_.gauge("rosemarylink_slow_workers", "Workers that the owner takes for slow.")
        .set(static_cast<double>(count));
}

void JobMetrics::setDutyAge(const std::string& duty, Milliseconds age)
{
    registry_
        .gauge("rosemarylink_duty_age_seconds",
            "Time since a duty of the owner last succeeded; 0 if this instance is not the owner.", { { "duty", duty } })
        .set(static_cast<double>(age.count()) / 1000);
}

void JobMetrics::setEvacuatedDomains(std::size_t domains)
{
    registry_.gauge("rosemarylink_evacuated_domains", "Failure domains that are evacuated, as the owner knows.")
        .set(static_cast<double>(domains));
}

void JobMetrics::setEvacuation(const FailureDomainId& domain, std::size_t runs, Milliseconds age)
{
    const MetricLabels labels { { "failure_domain", domain.value() } };
    registry_
        .gauge(
            "rosemarylink_evacuated_runs", "Runs that are still on the workers of an evacuated failure domain.", labels)
        .set(static_cast<double>(runs));
    registry_
        .gauge("rosemarylink_evacuation_age_seconds",
            "Time since the owner learned of the evacuation; 0 if there is none.", labels)
        .set(static_cast<double>(age.count()) / 1000);
}

void JobMetrics::countOddEvacuation()
{
    registry_.counter("rosemarylink_odd_evacuations_total", "Keys of evacuations that name no failure domain.").add();
}

void JobMetrics::setUnplaceableGuarantee(std::int64_t accelerators)
{
    registry_
        .gauge("rosemarylink_unplaceable_guarantee_accelerators",
            "Guaranteed accelerators beyond the capacity that is not evacuated.")
        .set(static_cast<double>(accelerators));
}

} // namespace rosemarylink::jobs
