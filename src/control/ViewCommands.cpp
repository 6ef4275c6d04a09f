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

    void addText(po::options_description& options, const char* name, const char* valueName, const char* description)
    {
        options.add_options()(name, po::value<std::string>()->value_name(valueName), description);
    }

    std::string inForceText(const std::optional<api::InForceView>& view)
    {
        if (!view)
            return "unknown how far it has spread";
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
        for (const api::InstanceView& one : view.instances) {
            table.add({ one.instance.value(), std::string(api::instanceRoleName(one.role)),
                std::string(api::instanceStateName(one.state)), std::to_string(one.version.value()),
                one.failureDomain.value() });
        }
        if (!table.empty())
            out << "\n" << table;
    }

    void printCells(std::ostream& out, const api::StatusView& view)
    {
        TextTable table({ "CELL", "OWNER", "WAITING", "RUNNING", "FREE", "LARGEST GANG", "FRAGMENTATION" });
        for (const api::CellView& one : view.cells) {
            table.add(
                { one.cell.value(), one.owner.empty() ? "none" : one.owner.value(), std::to_string(one.waitingJobs),
                    std::to_string(one.runningJobs), std::to_string(one.freeAccelerators.value()),
                    std::to_string(one.largestFittingGang), numberText(one.fragmentation) });
        }
        if (!table.empty())
            out << "\n" << table;
    }

    void printRisks(std::ostream& out, const api::StatusView& view)
    {
        TextTable table({ "GUARANTEE AT RISK", "SHAPE", "IN USE" });
        for (const api::GuaranteeView& one : view.guaranteesAtRisk) {
            table.add({ one.shape.account.value() + "/" + one.shape.name, shapeText(one.shape),
                std::to_string(one.gangsInUse) });
        }
        if (!table.empty())
            out << "\n" << table;
    }

    Outcome<void> runStatus(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(json, context.client->get("/v1/status"));
        BOOST_OUTCOME_TRY(view, parsed(api::parseStatusView(json)));
        if (context.json()) {
            context.printJson(api::toJson(view));
            return boost::outcome_v2::success();
        }
        printSummary(context.out(), view);
        printInstances(context.out(), view);
        printCells(context.out(), view);
        printRisks(context.out(), view);
        return boost::outcome_v2::success();
    }

    Outcome<void> runAccountList(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(json, context.client->get("/v1/accounts"));
        BOOST_OUTCOME_TRY(list, parsed(api::parseAccountList(json)));
        if (context.json()) {
            context.printJson(api::toJson(list));
            return boost::outcome_v2::success();
        }
        TextTable accounts({ "ACCOUNT", "WEIGHT", "QUOTA", "WAITING", "RUNNING", "IN USE", "BORROWED" });
        TextTable guarantees({ "GUARANTEE", "SHAPE", "IN USE", "RECLAIMABLE" });
        for (const api::AccountView& one : list.accounts) {
            accounts.add({ one.id.value(), numberText(one.weight),
                one.quotaAccelerators ? std::to_string(one.quotaAccelerators->value()) : "none",
                std::to_string(one.waitingJobs), std::to_string(one.runningJobs),
                std::to_string(one.acceleratorsInUse.value()), std::to_string(one.acceleratorsBorrowed.value()) });
            for (const api::GuaranteeView& guarantee : one.guarantees) {
                guarantees.add({ one.id.value() + "/" + guarantee.shape.name, shapeText(guarantee.shape),
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
        addText(options, "region", "REGION", "Only workers of this region.");
        addText(options, "rack", "RACK", "Only workers of this rack.");
        addText(options, "state", "STATE", "Only workers in this state: ready, leaving, lost or quarantined.");
    }

    Outcome<void> runWorkerList(CommandContext& context)
    {
        if (const auto state = context.text("state")) {
            BOOST_OUTCOME_TRYV(checkedInput(model::parseResourceState(*state, "--state")));
        }
        const std::string query
            = queryOf(context, { { "region", "region" }, { "rack", "rack" }, { "state", "state" } });
        BOOST_OUTCOME_TRY(json, context.client->get("/v1/workers" + query));
        BOOST_OUTCOME_TRY(list, parsed(api::parseWorkerList(json)));
        if (context.json()) {
            context.printJson(api::toJson(list));
            return boost::outcome_v2::success();
        }
        TextTable table({ "WORKER", "REGION", "RACK", "STATE", "TASKS", "ACCELERATORS", "CORES", "MEMORY MB" });
        const auto share
            = [](auto used, auto total) { return std::to_string(used.value()) + "/" + std::to_string(total.value()); };
        for (const api::WorkerView& one : list.workers) {
            const model::Resources& total = one.worker.capacity;
            table.add({ one.worker.id.value(), one.worker.region.value(), one.worker.rack.value(),
                std::string(model::resourceStateName(one.worker.state)), std::to_string(one.tasks),
                share(one.used.accelerators, total.accelerators), share(one.used.cores, total.cores),
                share(one.used.memory, total.memory) });
        }
        context.out() << table;
        return boost::outcome_v2::success();
    }

    void addAuditOptions(po::options_description& options)
    {
        addText(options, "operator", "NAME", "Only changes by this operator.");
        addText(options, "since", "TIME", "Only changes at or after this time, such as 2026-12-04T07:54:00Z.");
        addText(options, "until", "TIME", "Only changes before this time.");
        addText(options, "before", "VERSION", "Only changes to lower versions, to go on after a first page.");
        addText(options, "limit", "N", "Most changes to list, 1 to 1000. Default: 100.");
    }

    Outcome<std::string> auditQuery(const CommandContext& context)
    {
        std::string query
            = queryOf(context, { { "operator", "operator" }, { "before", "before" }, { "limit", "limit" } });
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
        BOOST_OUTCOME_TRY(list, parsed(api::parseAuditList(json)));
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
            context.out() << "there are more: --before " << *list.before << "\n";
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
