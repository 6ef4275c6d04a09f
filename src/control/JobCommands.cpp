#include "rosemarylink/base/RandomId.h"
#include "rosemarylink/control/TimeText.h"

#include "Command.h"
#include "RequestInput.h"

namespace rosemarylink::control::internal {

namespace po = boost::program_options;

namespace {

    std::string timeOrDash(const std::optional<Timestamp>& time) { return time ? formatTime(*time) : "-"; }

    std::string jobPath(const std::string& id) { return "/v1/jobs/" + urlEncoded(id); }

    void addTextOption(
        po::options_description& options, const char* name, const char* valueName, const char* description)
    {
        options.add_options()(name, po::value<std::string>()->value_name(valueName), description);
    }

    void addSubmitOptions(po::options_description& options)
    {
        addTextOption(options, "account", "ACCOUNT", "Client account to charge; required.");
        addTextOption(options, "kind", "KIND", "Declared kind of job; required.");
        addTextOption(options, "runtime", "TIME", "Estimated run time, such as 90s, 30min or 2h; required.");
        addTextOption(
            options, "command", "TEXT", "What each task executes; the platform interprets it. Default: empty.");
        addTextOption(options, "tasks", "N", "Gang size, 1 to 128. Default: 1.");
        addTextOption(options, "accelerators", "N", "Accelerators of each task. Default: 1.");
        addTextOption(options, "cores", "N", "Processor cores of each task. Default: 0.");
        addTextOption(options, "memory", "MB", "Memory of each task. Default: 0.");
        addTextOption(options, "adjacency", "A", "worker, rack, neighbouring-racks or region. Default: region.");
        addTextOption(options, "region", "REGION", "Region to run in. Default: any.");
        addTextOption(
            options, "key", "KEY", "Idempotency key; repeating a key returns the first job. Default: random.");
        options.add_options()("urgent", po::bool_switch(), "Must start within 7.5 s.");
        options.add_options()("once", po::bool_switch(), "Not idempotent: start at most once.");
        options.add_options()("checkpointable", po::bool_switch(), "Can be resumed from a checkpoint.");
    }

    Outcome<std::int64_t> integerOption(const CommandContext& context, const std::string& option, std::int64_t fallback)
    {
        const auto text = context.text(option);
        if (!text)
            return fallback;
        if (text->empty() || text->size() > 15 || text->find_first_not_of("0123456789") != std::string::npos)
            return badInput("--" + option + " has the value \"" + *text + "\"; it must be a whole number");
        return std::stoll(*text);
    }

    Outcome<std::string> requiredOption(const CommandContext& context, const std::string& option)
    {
        const auto text = context.text(option);
        if (!text)
            return badInput("job submit: the option --" + option + " is missing");
        return *text;
    }

    // Builds the body and validates it locally, so that wrong values are reported without a gateway.
    Outcome<api::JobSubmission> parseSubmission(const CommandContext& context)
    {
        BOOST_OUTCOME_TRY(account, requiredOption(context, "account"));
        BOOST_OUTCOME_TRY(kind, requiredOption(context, "kind"));
        BOOST_OUTCOME_TRY(runTimeText, requiredOption(context, "runtime"));
        BOOST_OUTCOME_TRY(runTime, checkedInput(parseDuration(runTimeText)));
        BOOST_OUTCOME_TRY(tasks, integerOption(context, "tasks", 1));
        BOOST_OUTCOME_TRY(accelerators, integerOption(context, "accelerators", 1));
        BOOST_OUTCOME_TRY(cores, integerOption(context, "cores", 0));
        BOOST_OUTCOME_TRY(memory, integerOption(context, "memory", 0));
        nlohmann::json body = { { "account", account }, { "kind", kind }, { "tasks", tasks },
            { "perTask", { { "accelerators", accelerators }, { "cores", cores }, { "memory", memory } } },
            { "declaredRunTime", runTime.count() }, { "urgent", context.flag("urgent") },
            { "idempotent", !context.flag("once") }, { "checkpointable", context.flag("checkpointable") } };
        for (const char* option : { "command", "adjacency", "region" }) {
            if (const auto text = context.text(option))
                body[option] = *text;
        }
        return checkedInput(api::parseJobSubmission(body, "job submit"));
    }

    void printJob(const CommandContext& context, const api::JobView& view)
    {
        if (context.json()) {
            context.printJson(api::toJson(view));
            return;
        }
        const model::JobSpec& job = view.job;
        TextTable table({ "job", job.id.value() });
        table.add(
            { "state", std::string(api::jobStateName(view.state)) + (view.reason.empty() ? "" : ": " + view.reason) });
        table.add({ "account", job.account.value() });
        table.add({ "kind", job.kind.value() });
        table.add({ "tasks",
            std::to_string(job.tasks) + " of " + std::to_string(job.perTask.accelerators.value()) + " accelerators, "
                + std::to_string(job.perTask.cores.value()) + " cores, " + std::to_string(job.perTask.memory.value())
                + " MB" });
        table.add({ "adjacency", std::string(model::adjacencyName(job.adjacency)) });
        table.add({ "declared run time", formatDuration(job.declaredRunTime) });
        table.add({ "cell", view.cell.empty() ? "-" : view.cell.value() });
        table.add({ "submitted", timeOrDash(view.submittedAt) });
        table.add({ "started", timeOrDash(view.startedAt) });
        table.add({ "ended", timeOrDash(view.endedAt) });
        if (view.expectedWait)
            table.add({ "expected wait", formatDuration(*view.expectedWait) });
        context.out() << table;
    }

    Outcome<void> runSubmit(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(submission, parseSubmission(context));
        const std::string key = context.text("key").value_or(randomHex128());
        BOOST_OUTCOME_TRYV(checkedInput(checkIdempotencyKey("--key", key)));
        auto answer = context.client->send(
            "POST", "/v1/jobs", { { "Idempotency-Key", key } }, api::toJson(submission), RetrySafety::Safe);
        if (!answer) {
            CommandFailure failure = answer.error();
            failure.retryAdvice = "retry it with --key " + key + ", so that it is submitted once only";
            return failure;
        }
        BOOST_OUTCOME_TRY(view, checkedAnswer(api::parseJobView(answer.value())));
        printJob(context, view);
        return boost::outcome_v2::success();
    }

    Outcome<void> showJob(CommandContext& context, const std::string& method)
    {
        BOOST_OUTCOME_TRY(
            json, context.client->send(method, jobPath(context.arguments[0]), {}, nullptr, RetrySafety::Safe));
        BOOST_OUTCOME_TRY(view, checkedAnswer(api::parseJobView(json)));
        printJob(context, view);
        return boost::outcome_v2::success();
    }

    Outcome<void> runStatus(CommandContext& context) { return showJob(context, "GET"); }
    Outcome<void> runCancel(CommandContext& context) { return showJob(context, "DELETE"); }

    Outcome<void> runExplain(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(json, context.client->get(jobPath(context.arguments[0]) + "/explain"));
        BOOST_OUTCOME_TRY(view, checkedAnswer(api::parseJobExplanation(json)));
        if (context.json()) {
            context.printJson(api::toJson(view));
            return boost::outcome_v2::success();
        }
        TextTable table({ "job", view.job.value() });
        table.add({ "state", std::string(api::jobStateName(view.state)) });
        table.add({ "reason", view.reason });
        table.add({ "reserved start", timeOrDash(view.reservedStart) });
        for (const JobId& other : view.waitsFor)
            table.add({ "waits for", other.value() });
        context.out() << table;
        return boost::outcome_v2::success();
    }

    void addListOptions(po::options_description& options)
    {
        addTextOption(options, "account", "ACCOUNT", "Only jobs of this client account.");
        addTextOption(options, "state", "STATE",
            "Only jobs in this state: waiting, launching, running, stopping, completed, failed, cancelled or "
            "may-have-run.");
        addTextOption(options, "after", "ID", "Only jobs with a greater id, for the next page.");
        addTextOption(options, "limit", "N", "Maximum number of jobs to list, 1 to 1000. Default: 100.");
    }

    Outcome<void> runList(CommandContext& context)
    {
        if (const auto state = context.text("state")) {
            BOOST_OUTCOME_TRYV(checkedInput(api::parseJobState(*state, "--state")));
        }
        BOOST_OUTCOME_TRYV(integerOption(context, "limit", 0));
        const std::string query = queryString(
            context, { { "account", "account" }, { "state", "state" }, { "after", "after" }, { "limit", "limit" } });
        BOOST_OUTCOME_TRY(json, context.client->get("/v1/jobs" + query));
        BOOST_OUTCOME_TRY(list, checkedAnswer(api::parseJobList(json)));
        if (context.json()) {
            context.printJson(api::toJson(list));
            return boost::outcome_v2::success();
        }
        TextTable table({ "JOB", "ACCOUNT", "KIND", "TASKS", "STATE", "SUBMITTED", "STARTED" });
        for (const api::JobView& view : list.jobs) {
            table.add({ view.job.id.value(), view.job.account.value(), view.job.kind.value(),
                std::to_string(view.job.tasks), std::string(api::jobStateName(view.state)),
                timeOrDash(view.submittedAt), timeOrDash(view.startedAt) });
        }
        context.out() << table;
        if (list.after)
            context.out() << "more jobs: --after " << *list.after << "\n";
        return boost::outcome_v2::success();
    }

} // namespace

std::vector<Command> jobCommands()
{
    const CommandArgument id { "ID", {} };
    return {
        { { "job", "submit" }, {}, "Submit a job for a client account.", true, addSubmitOptions, runSubmit },
        { { "job", "status" }, { id }, "Show a job.", true, nullptr, runStatus },
        { { "job", "list" }, {}, "List jobs.", true, addListOptions, runList },
        { { "job", "cancel" }, { id }, "Cancel a job.", true, nullptr, runCancel },
        { { "job", "explain" }, { id }, "Explain why a job waits and what it waits for.", true, nullptr, runExplain },
    };
}

} // namespace rosemarylink::control::internal
