#include "rosemarylink/control/TimeText.h"

#include "Command.h"

namespace rosemarylink::control::internal {

namespace po = boost::program_options;

namespace {

    template <typename Number> std::string numberText(const Number& number) { return nlohmann::json(number).dump(); }

    std::string shapeText(const model::GuaranteedShape& shape)
    {
        return std::to_string(shape.gangs) + " x " + std::to_string(shape.tasks) + " tasks of "
            + std::to_string(shape.perTask.accelerators.value()) + " accelerators, "
            + std::string(model::adjacencyName(shape.adjacency)) + ", " + shape.region.value();
    }

    void addTextOption(
        po::options_description& options, const char* name, const char* valueName, const char* description)
    {
        options.add_options()(name, po::value<std::string>()->value_name(valueName), description);
    }

    std::string inForceText(const std::optional<api::InForceView>& view)
    {
        if (!view)
            return "rollout state unknown";
        if (view->everywhere)
            return "in force everywhere";
        return std::to_string(view->behind.size()) + " instances are behind";
    }

    void printSummary(std::ostream& out, const api::StatusView& view)
    {
        TextTable summary({ "configuration",
            "version " + std::to_string(view.configVersion.value()) + ", preset "
                + std::string(model::presetName(view.preset)) + ", " + inForceText(view.inForce) });
        summary.add({ "store", view.storeAvailable ? "available" : "NOT available; nothing new is accepted" });
        summary.add({ "answered by", view.answeredBy.value() + ", software " + view.softwareVersion });
        out << summary;
    }

    void printInstances(std::ostream& out, const api::StatusView& view)
    {
        TextTable table({ "INSTANCE", "ROLE", "STATE", "VERSION", "FAILURE DOMAIN" });
        for (const api::InstanceView& instance : view.instances) {
            table.add({ instance.instance.value(), std::string(api::instanceRoleName(instance.role)),
                std::string(api::instanceStateName(instance.state)), std::to_string(instance.version.value()),
                instance.failureDomain.value() });
        }
        if (!table.empty())
            out << "\n" << table;
    }

    void printCells(std::ostream& out, const api::StatusView& view)
    {
        TextTable table({ "CELL", "OWNER", "WAITING", "RUNNING", "FREE", "LARGEST GANG", "FRAGMENTATION" });
        for (const api::CellView& cell : view.cells) {
            table.add(
                { cell.cell.value(), cell.owner.empty() ? "none" : cell.owner.value(), std::to_string(cell.waitingJobs),
                    std::to_string(cell.runningJobs), std::to_string(cell.freeAccelerators.value()),
                    std::to_string(cell.largestFittingGang), numberText(cell.fragmentation) });
        }
        if (!table.empty())
            out << "\n" << table;
    }

    void printGuaranteesAtRisk(std::ostream& out, const api::StatusView& view)
    {
        TextTable table({ "GUARANTEE AT RISK", "SHAPE", "IN USE" });
        for (const api::GuaranteeView& guarantee : view.guaranteesAtRisk) {
            table.add({ guarantee.shape.account.value() + "/" + guarantee.shape.name, shapeText(guarantee.shape),
                std::to_string(guarantee.gangsInUse) });
        }
        if (!table.empty())
            out << "\n" << table;
    }

    Outcome<void> runStatus(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(json, context.client->get("/v1/status"));
        BOOST_OUTCOME_TRY(view, checkedAnswer(api::parseStatusView(json)));
        if (context.json()) {
            context.printJson(api::toJson(view));
            return boost::outcome_v2::success();
        }
        printSummary(context.out(), view);
        printInstances(context.out(), view);
        printCells(context.out(), view);
        printGuaranteesAtRisk(context.out(), view);
        return boost::outcome_v2::success();
    }

    Outcome<void> runAccountList(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(json, context.client->get("/v1/accounts"));
        BOOST_OUTCOME_TRY(list, checkedAnswer(api::parseAccountList(json)));
        if (context.json()) {
            context.printJson(api::toJson(list));
            return boost::outcome_v2::success();
        }
        TextTable accounts({ "ACCOUNT", "WEIGHT", "QUOTA", "WAITING", "RUNNING", "IN USE", "BORROWED" });
        TextTable guarantees({ "GUARANTEE", "SHAPE", "IN USE", "RECLAIMABLE" });
        for (const api::AccountView& account : list.accounts) {
            accounts.add({ account.id.value(), numberText(account.weight),
                account.quotaAccelerators ? std::to_string(account.quotaAccelerators->value()) : "none",
                std::to_string(account.waitingJobs), std::to_string(account.runningJobs),
                std::to_string(account.acceleratorsInUse.value()),
                std::to_string(account.acceleratorsBorrowed.value()) });
            for (const api::GuaranteeView& guarantee : account.guarantees) {
                guarantees.add({ account.id.value() + "/" + guarantee.shape.name, shapeText(guarantee.shape),
                    std::to_string(guarantee.gangsInUse),
                    guarantee.reclaimable ? "in " + formatDuration(guarantee.reclaimTime) : "NO" });
            }
        }
        context.out() << accounts;
        if (!guarantees.empty())
            context.out() << "\n" << guarantees;
        return boost::outcome_v2::success();
    }

    void addWorkerOptions(po::options_description& options)
    {
        addTextOption(options, "region", "REGION", "Only workers of this region.");
        addTextOption(options, "rack", "RACK", "Only workers of this rack.");
        addTextOption(options, "state", "STATE", "Only workers in this state: ready, leaving, lost or quarantined.");
    }

    Outcome<void> runWorkerList(CommandContext& context)
    {
        if (const auto state = context.text("state")) {
            BOOST_OUTCOME_TRYV(checkedInput(model::parseResourceState(*state, "--state")));
        }
        const std::string query
            = queryString(context, { { "region", "region" }, { "rack", "rack" }, { "state", "state" } });
        BOOST_OUTCOME_TRY(json, context.client->get("/v1/workers" + query));
        BOOST_OUTCOME_TRY(list, checkedAnswer(api::parseWorkerList(json)));
        if (context.json()) {
            context.printJson(api::toJson(list));
            return boost::outcome_v2::success();
        }
        TextTable table({ "WORKER", "REGION", "RACK", "STATE", "TASKS", "ACCELERATORS", "CORES", "MEMORY MB" });
        const auto ratio
            = [](auto used, auto total) { return std::to_string(used.value()) + "/" + std::to_string(total.value()); };
        for (const api::WorkerView& worker : list.workers) {
            const model::Resources& total = worker.worker.capacity;
            table.add({ worker.worker.id.value(), worker.worker.region.value(), worker.worker.rack.value(),
                std::string(model::resourceStateName(worker.worker.state)), std::to_string(worker.tasks),
                ratio(worker.used.accelerators, total.accelerators), ratio(worker.used.cores, total.cores),
                ratio(worker.used.memory, total.memory) });
        }
        context.out() << table;
        return boost::outcome_v2::success();
    }

    void addAuditOptions(po::options_description& options)
    {
        addTextOption(options, "operator", "NAME", "Only changes by this operator.");
        addTextOption(options, "since", "TIME", "Only changes at or after this time, such as 2026-12-04T07:54:00Z.");
        addTextOption(options, "until", "TIME", "Only changes before this time.");
        addTextOption(options, "before", "VERSION", "Only changes to lower versions, for the next page.");
        addTextOption(options, "limit", "N", "Maximum number of changes to list, 1 to 1000. Default: 100.");
    }

    Outcome<std::string> auditQuery(const CommandContext& context)
    {
        std::string query
            = queryString(context, { { "operator", "operator" }, { "before", "before" }, { "limit", "limit" } });
        for (const char* option : { "since", "until" }) {
            const auto text = context.text(option);
            if (!text)
                continue;
            BOOST_OUTCOME_TRY(time, checkedInput(parseTime(*text)));
            query += (query.empty() ? "?" : "&") + std::string(option) + "=" + std::to_string(toMilliseconds(time));
        }
        return query;
    }

    Outcome<void> runAudit(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(query, auditQuery(context));
        BOOST_OUTCOME_TRY(json, context.client->get("/v1/audit" + query));
        BOOST_OUTCOME_TRY(list, checkedAnswer(api::parseAuditList(json)));
        if (context.json()) {
            context.printJson(api::toJson(list));
            return boost::outcome_v2::success();
        }
        TextTable table({ "VERSION", "FROM", "OPERATOR", "TIME", "OPERATION", "CHANGE" });
        for (const api::AuditEntry& entry : list.entries) {
            const std::vector<std::string> changes
                = entry.changes.empty() ? std::vector<std::string> { "-" } : entry.changes;
            for (std::size_t index = 0; index < changes.size(); ++index) {
                if (index == 0) {
                    table.add({ std::to_string(entry.toVersion.value()), std::to_string(entry.fromVersion.value()),
                        entry.acceptedBy.value(), formatTime(entry.acceptedAt), entry.operation.value(), changes[0] });
                } else {
                    table.add({ "", "", "", "", "", changes[index] });
                }
            }
        }
        context.out() << table;
        if (list.before)
            context.out() << "more changes: --before " << *list.before << "\n";
        return boost::outcome_v2::success();
    }

} // namespace

std::vector<Command> viewCommands()
{
    return {
        { { "status" }, {}, "Show configuration, instances, cells and guarantees at risk.", true, nullptr, runStatus },
        { { "account", "list" }, {}, "List client accounts, their use and their guarantees.", true, nullptr,
            runAccountList },
        { { "worker", "list" }, {}, "List workers and what is in use on them.", true, addWorkerOptions, runWorkerList },
        { { "audit" }, {}, "List accepted configuration changes, newest first.", true, addAuditOptions, runAudit },
    };
}

} // namespace rosemarylink::control::internal
