#include "PlatformCatalog.h"
#include "PlatformSettings.h"
#include "rosemarylink/jobs/Job.h"

#include <catch2/catch.hpp>

namespace rosemarylink::platform {

// Guards against accepting jobs that can never run because they need a feature that is not implemented.
TEST_CASE("unsupported features are refused with a reason")
{
    const auto filler = parseSubmission(R"({"Steps":[{"Count":1,"Utilization":true}]})");
    REQUIRE_FALSE(filler.has_value());
    REQUIRE(filler.error().code == ErrorCode::Unsupported);
    const PlatformCatalog catalog;
    const auto configuration = catalog.parseConfiguration({ "op/config",
        R"({"Version":1,"Routes":[{"Name":"q","Host":"h","Prefix":"/q/","Service":"s",
            "Recommendation":{"DecisionMs":5,"PeriodMs":1,"ValidityMs":1000}}]})",
        Revision(1) });
    REQUIRE(configuration.has_value());
    REQUIRE_FALSE(configuration.value().queues.at(0).unsupportedReason.empty());
}

TEST_CASE("the fields of a step are decoded")
{
    const auto job = parseSubmission(
        R"({"Spec":"s","Steps":[{"Count":4,"Cpu":500,"RequestedMb":256,"Gpu":2,"EstimateMs":900,"Gang":true,
            "LocalitySensitive":true,"Checkpointing":true,"Requirements":"a","Affinity":"r1-3","AntiAffinity":1},
            {"Count":2,"After":[0],"LongRunning":true,"MayMiss":1}],"Repetitions":3,"StartAtMs":5000,"IntervalMs":700})");
    REQUIRE(job.has_value());
    const jobs::StepSpec& first = job.value().steps.at(0);
    CHECK(first.taskCount == 4);
    CHECK(first.perTask.milliCores == 500);
    CHECK(first.perTask.megabytes == 256);
    CHECK(first.perTask.accelerators == 2);
    CHECK(first.estimate == Milliseconds(900));
    CHECK((first.gang && first.rackLocal && first.checkpointing && first.preemptible));
    CHECK(first.workerLabel == "a");
    CHECK(first.dataRack == "r1-3");
    CHECK(first.maximumPerWorker == 1);
    const jobs::StepSpec& second = job.value().steps.at(1);
    CHECK(second.dependencies == std::vector<int> { 0 });
    CHECK((second.longRunning && !second.preemptible));
    CHECK(job.value().occurrences == 3);
    CHECK(job.value().interval == Milliseconds(700));
    // A round trip through the stored record preserves all fields.
    jobs::JobSpec spec = job.value();
    spec.id = JobId("a1");
    const auto again = jobs::parseJobSpec(jobs::toJson(spec));
    REQUIRE(again.has_value());
    CHECK(jobs::toJson(again.value()) == jobs::toJson(spec));
    CHECK(again.value().steps.at(1).longRunning);
}

// Guards against a job that is accepted with other demands, tasks, limits or dependencies than its caller sent, because
// a number that has a fraction or does not fit into its type was converted without a check.
TEST_CASE("numbers of a submission that are not whole or out of range are refused")
{
    const std::string field = GENERATE(as<std::string> {}, R"("Count":4294967297)", R"("Count":1.5)", R"("Cpu":0.5)",
        R"("Cpu":1e300)", R"("RequestedMb":18446744073709551616)", R"("Gpu":1.5)", R"("Gpu":9223372036854775808)",
        R"("AntiAffinity":4294967296)", R"("MayMiss":4294967296)", R"("EstimateMs":1e300)", R"("After":[4294967296])",
        R"("After":[0.5])");
    CAPTURE(field);
    const auto job = parseSubmission(R"({"Steps":[{"Cpu":1},{)" + field + "}]}");
    REQUIRE_FALSE(job.has_value());
    CHECK(job.error().code == ErrorCode::InvalidArgument);
    const std::string name = field.substr(1, field.find(':') - 2);
    CHECK(job.error().message.find(name) != std::string::npos);
    CHECK_FALSE(parseSubmission(R"({"Steps":[{"Cpu":1}],"Repetitions":4294967298})").has_value());
    CHECK_FALSE(parseSubmission(R"({"Steps":[{"Cpu":1}],"Repetitions":2,"IntervalMs":1e300})").has_value());
    CHECK(parseSubmission(R"({"Steps":[{"Count":4.0,"Cpu":500.0}],"Repetitions":1e0})").has_value());
}

// Guards against an evacuation that is overlooked because of its record's value, and against taking an odd key for the
// evacuation of a domain.
TEST_CASE("the key of an evacuation names a failure domain whatever its value is")
{
    const PlatformCatalog catalog;
    const auto domainOf = [&catalog](const std::string& name, const std::string& value = "{}") {
        return catalog.parseEvacuation({ catalog.evacuationPrefix() + name, value, Revision(1) });
    };
    CHECK(catalog.evacuationPrefix() == "op/evacuate/");
    for (const char* const value : { "{}", "", "null", "[1", "\xff" })
        CHECK(domainOf("zone-1a", value).value() == FailureDomainId("zone-1a"));
    CHECK_FALSE(domainOf("").has_value());
    CHECK_FALSE(domainOf("a\nb").has_value());
    CHECK_FALSE(domainOf(std::string(201, 'a')).has_value());
    CHECK_FALSE(catalog.parseEvacuation({ "op/config", "{}", Revision(1) }).has_value());
}

// Guards against evacuations that are looked for, or ignored, contrary to the settings.
TEST_CASE("evacuations are enabled by a bound above 0")
{
    const auto timeoutOf = [](const std::string& bounds) {
        return parsePlatformSettings(R"({"NodeName":"n","Zone":"z","Ip":"10.0.0.1","InternalPortRange":[7000,7015],
            "Listen":{"Frontend":"10.0.0.1:80","Readiness":"10.0.0.1:81"},"platform":{"Address":"10.0.0.9:80"})"
            + bounds + "}")
            .value()
            .limits.evacuationTimeout;
    };
    CHECK(timeoutOf(R"(,"Bounds":{"EvacuationMs":5000,"ContactMs":4000})") == Milliseconds(5000));
    CHECK_FALSE(timeoutOf("").has_value());
    for (const char* const off : { R"(,"Bounds":{})", R"(,"Bounds":{"EvacuationMs":null})",
             R"(,"Bounds":{"EvacuationMs":0})", R"(,"Bounds":{"EvacuationMs":-1})" })
        CHECK_FALSE(timeoutOf(off).has_value());
}

// Guards against a process that fails to start because an optional field is null.
TEST_CASE("optional fields of the settings may be missing or null")
{
    const std::string head = R"({"NodeName":"n","Zone":"z","Ip":"10.0.0.1","InternalPortRange":[7000,7015],
        "Listen":{"Frontend":"10.0.0.1:80","Readiness":"10.0.0.1:81"},"platform":{"Address":"10.0.0.9:80"})";
    for (const char* const rest :
        { "}", R"(,"Limits":null,"Bounds":null})", R"(,"Limits":{"CpuShare":null},"Bounds":{"GraceS":null}})" }) {
        const auto settings = parsePlatformSettings(head + rest);
        REQUIRE(settings.has_value());
        CHECK(settings.value().stopGrace == Milliseconds(6000));
        CHECK(jobs::acquisitionDelayFor(settings.value().capacity) == Milliseconds(0));
        CHECK(settings.value().capacity.memoryMb == 0);
        CHECK(settings.value().capacity.fileDescriptors == 0);
    }
    const auto small = parsePlatformSettings(head
        + R"(,"Limits":{"CpuShare":0.12,"Cores":1,"LinkMbps":10.0,"MemoryMb":160,"FileDescriptors":4100},"Bounds":{"GraceS":4}})");
    REQUIRE(small.has_value());
    CHECK(small.value().stopGrace == Milliseconds(4000));
    CHECK(jobs::acquisitionDelayFor(small.value().capacity) > Milliseconds(0));
    CHECK(small.value().capacity.memoryMb == 160);
    CHECK(small.value().capacity.fileDescriptors == 4100);
    CHECK_FALSE(parsePlatformSettings(head + R"(,"Limits":"many"})").has_value());
    CHECK_FALSE(parsePlatformSettings(head + R"(,"Limits":{"MemoryMb":"many"}})").has_value());
}

// Guards against an owner that is filled with texts that no worker can use, and that are longer than the platform
// allows.
TEST_CASE("a submission with texts over the limits is refused, and repeated dependencies are held once")
{
    const auto submission = [](std::size_t payload, std::size_t label, const std::string& after) {
        return parseSubmission(R"({"Spec":")" + std::string(payload, 's') + R"(","Steps":[{"Cpu":1},{"Requirements":")"
            + std::string(label, 'l') + R"(","After":[)" + after + "]}]}");
    };
    CHECK(submission(4000, 200, "0").has_value());
    CHECK_FALSE(submission(4001, 200, "0").has_value());
    CHECK_FALSE(submission(4000, 201, "0").has_value());
    CHECK(submission(0, 0, "0,0,0").value().steps[1].dependencies == std::vector<int> { 0 });
}

} // namespace rosemarylink::platform
