#include "CommandRunner.h"

#include "Command.h"
#include "Completion.h"

namespace rosemarylink::control {
namespace {

    TEST_CASE("--help prints the usage of each command")
    {
        CommandRunner run;
        const auto general = run.runArguments({ "--help" });
        CHECK(general.exitCode == 0);
        for (const internal::Command& command : internal::allCommands()) {
            std::vector<std::string> arguments = command.words;
            arguments.emplace_back("--help");
            const auto help = run.runArguments(arguments);
            CAPTURE(command.words);
            CHECK(help.exitCode == 0);
            CHECK(contains(help.output, command.summary));
            CHECK(contains(help.output, "--gateway"));
            CHECK(contains(general.output, command.summary));
        }
    }

    TEST_CASE("invalid arguments give exit code 2 and name the nearest known word")
    {
        CommandRunner run;
        const auto failure = [&](const std::vector<std::string>& arguments) {
            const auto result = run.runArguments(arguments);
            CHECK(result.exitCode == 2);
            CHECK(result.output.empty());
            return result.errors;
        };
        CHECK(contains(failure({}), "a command is missing"));
        CHECK(contains(failure({ "aply", "x" }), "unknown command \"aply\"; did you mean \"apply\"?"));
        CHECK(contains(failure({ "job", "kill" }), "unknown command \"job kill\"; allowed: job submit, job status"));
        CHECK(contains(failure({ "--format", "json", "status" }), "options follow the command"));
        CHECK(contains(
            failure({ "apply", "x", "--dryrun" }), "unknown option \"--dryrun\"; did you mean \"--dry-run\"?"));
        CHECK(contains(failure({ "apply" }), "0 arguments are given; it must be used as: apply DIR"));
        CHECK(contains(failure({ "check", "a", "b" }), "2 arguments are given; it must be used as: check DIR"));
        CHECK(contains(failure({ "status" }), "no gateway is given"));
        CHECK(
            contains(failure({ "status", "--gateway", "localhost:80" }), "it must be IP:PORT, such as 127.0.0.1:8080"));
        CHECK(contains(failure({ "status", "--gateway", "127.0.0.1:0" }), "it must be IP:PORT"));
        CHECK(contains(failure({ "status", "--gateway", "127.0.0.1:80" }), "no key is given"));
        CHECK(contains(failure({ "status", "--gateway", "127.0.0.1:80", "--key-file", "/none" }),
            "key \"key-file\" has the value \"/none\""));
        CHECK(contains(failure({ "version", "--format", "xml" }),
            "command line: [output] key \"format\" has the value \"xml\"; it must be one of text, json"));
        CHECK(contains(failure({ "completion", "zsh" }), "it must be bash"));
        CHECK(
            contains(failure({ "audit", "--gateway", run.gateways, "--key-file", run.keyFile, "--since", "yesterday" }),
                "it must look like 2026-12-04T07:54:00Z or 2026-12-04"));
    }

    TEST_CASE("settings come from the file and flags override them")
    {
        CommandRunner run;
        const std::string file = run.directory.write("ctl.ini",
            "[client]\ngateway = " + run.gateways + "\nkey-file = " + run.keyFile + "\n[output]\nformat = json\n");
        CHECK(contains(run.runArguments({ "preset", "show", "--settings", file }).output, "\"preset\":\"ordinary\""));
        CHECK(contains(run.runArguments({ "preset", "show" }, file).output, "\"preset\":\"ordinary\""));
        CHECK(run.runArguments({ "preset", "show", "--format", "text" }, file).output == "ordinary (version 1)\n");
        CHECK(run.runArguments({ "--check-settings" }, file).exitCode == 0);

        const std::string wrong = run.directory.write("wrong.ini", "[client]\ntimeuot = 5\n");
        const auto result = run.runArguments({ "--check-settings", "--settings", wrong });
        CHECK(result.exitCode == 2);
        CHECK(contains(result.errors, "wrong.ini:2: [client] unknown key \"timeuot\"; did you mean \"timeout\"?"));
        CHECK(contains(
            run.runArguments({ "status", "--settings", "/none.ini" }).errors, "/none.ini: the file cannot be read"));
    }

    TEST_CASE("a bearer key is never printed")
    {
        CommandRunner run;
        run.keyFile = run.directory.write("wrong-key", "secret-of-omar");
        for (const std::vector<std::string>& arguments :
            { std::vector<std::string> { "status" }, { "job", "list" }, { "preset", "set", "peak" } }) {
            const auto result = run(arguments);
            CHECK(result.exitCode == 1);
            CHECK(contains(result.errors, "unknown bearer key"));
            CHECK_FALSE(contains(result.errors + result.output, "secret-of-omar"));
        }
    }

    TEST_CASE("tables show the gateway's answers")
    {
        CommandRunner run;
        const auto status = run({ "status" }).output;
        CHECK(contains(status, "version 1, preset ordinary"));
        CHECK(contains(status, "g1        gateway  ready  1        amman-1"));
        CHECK(contains(run({ "account", "list" }).output, "harbor   3.0     64     0        0        0       0"));
        CHECK(contains(run({ "worker", "list", "--rack", "rack-1" }).output,
            "w1      amman   rack-1  ready  2      2/8           4/32   8000/64000"));
        CHECK(run.fixture.backend.lastWorkerQuery.rack == RackId("rack-1"));
        CHECK(contains(run({ "audit", "--since", "2026-12-04" }).output, "1        0     layla"));
        CHECK(run.fixture.backend.lastAuditQuery.since == timestampFromMilliseconds(1796342400000));
        CHECK(run({ "version" }).output == "rosemarylinkctl " ROSEMARYLINK_VERSION "\n");
    }

    TEST_CASE("a job is submitted once per key, shown, explained and cancelled")
    {
        CommandRunner run;
        const std::vector<std::string> submit { "job", "submit", "--account", "harbor", "--kind", "quote-drafting",
            "--runtime", "90s", "--tasks", "4", "--adjacency", "rack", "--once", "--key", "k1" };
        for (int repeat = 0; repeat < 2; ++repeat)
            CHECK(contains(run(submit).output, "harbor-k1"));
        CHECK(run.fixture.backend.submissions == 1);
        const auto job = run.fixture.backend.job(JobId("harbor-k1")).value().job;
        CHECK(job.declaredRunTime == Milliseconds(90000));
        CHECK(job.adjacency == model::Adjacency::Rack);
        CHECK_FALSE(job.idempotent);
        CHECK(contains(run({ "job", "list", "--account", "harbor" }).output, "harbor-k1  harbor   quote-drafting  4"));
        CHECK(contains(run({ "job", "explain", "harbor-k1" }).output, "the rack is full"));
        CHECK(contains(run({ "job", "cancel", "harbor-k1" }).output, "cancelled"));
        CHECK(contains(run({ "job", "status", "harbor-k1" }).output, "cancelled"));
        CHECK(run({ "job", "status", "none" }).exitCode == 1);
    }

    TEST_CASE("invalid job options are refused before a gateway is called")
    {
        CommandRunner run;
        const auto failure = [&](const std::string& option, const std::string& value) {
            const auto result = run({ "job", "submit", "--account", "harbor", "--kind", "k", "--runtime",
                option == "--runtime" ? value : "1h", option == "--runtime" ? "--tasks" : option,
                option == "--runtime" ? "1" : value });
            CHECK(result.exitCode == 2);
            return result.errors;
        };
        CHECK(contains(failure("--runtime", "soon"), "it must look like 250ms, 30s, 5min, 2h or 7d"));
        CHECK(contains(failure("--tasks", "1,000"), "--tasks has the value \"1,000\"; it must be a whole number"));
        CHECK(contains(
            failure("--key", "k\r\nRosemarylink-Urgent: true"), "--key has 28 characters; it must have 1 to 128"));
        CHECK(contains(failure("--tasks", "129"), "job submit.tasks"));
        CHECK(contains(failure("--adjacency", "near"), "worker, rack, neighbouring-racks, region"));
        CHECK(contains(run({ "job", "submit", "--kind", "k" }).errors, "the option --account is missing"));
        CHECK(contains(run({ "job", "list", "--state", "tired" }).errors, "may-have-run"));
        CHECK(run.fixture.backend.submissions == 0);
    }

    TEST_CASE("the completion script covers every command and option")
    {
        const std::string script = internal::bashCompletion();
        for (const internal::Command& command : internal::allCommands()) {
            CAPTURE(command.words);
            CHECK(contains(script,
                command.words.size() == 2 ? "\"" + command.words[0] + " " + command.words[1] + "\"*)"
                                          : "\"" + command.words[0] + " \"*)"));
        }
        CHECK(contains(script, "--dry-run --wait --expect"));
        CHECK(contains(script, "ordinary peak maintenance"));
    }

} // namespace
} // namespace rosemarylink::control
