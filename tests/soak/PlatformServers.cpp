#include "PlatformServers.h"
#include "rosemarylink/jobs/Catalog.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <sstream>
#include <stdexcept>

namespace rosemarylink::soak {

namespace {

    using Json = nlohmann::json;
    using jobs::StoreOutcome;
    using jobs::StoreResponse;
    using reactor::Responder;
    using reactor::ServerRequest;

    // Longer than the time-outs of the callers, so that it never ends a call.
    constexpr Milliseconds serverTimeout { 60000 };

    std::string encode(const std::string& bytes)
    {
        std::ostringstream out;
        Poco::Base64Encoder encoder(out);
        encoder.rdbuf()->setLineLength(0);
        encoder << bytes;
        encoder.close();
        return out.str();
    }

    std::string decode(const std::string& text)
    {
        std::istringstream in(text);
        Poco::Base64Decoder decoder(in);
        std::string bytes;
        Poco::StreamCopier::copyToString(decoder, bytes);
        return bytes;
    }

    Json recordJson(const jobs::Record& record, const RecordView& view)
    {
        return { { "Key", record.key }, { "Value", encode(view(record)) }, { "Revision", record.revision.value() } };
    }

    Json recordsJson(const StoreResponse& answer, const RecordView& view)
    {
        Json rows = Json::array();
        for (const jobs::Record& record : answer.records)
            rows.push_back(recordJson(record, view));
        return rows;
    }

    std::string storedValue(const jobs::Record& record) { return record.value; }

    // Returns a handler that responds with the body on success, and otherwise with the error status of the platform's
    // store.
    jobs::StoreHandler storeResponder(const Responder& respond, const std::function<Json(const StoreResponse&)>& body)
    {
        return [respond, body](const StoreResponse& answer) {
            switch (answer.outcome) {
            case StoreOutcome::Done:
                respond({ 200, body(answer).dump(), {} });
                return;
            case StoreOutcome::Conflict:
                respond({ 412, Json({ { "items", recordsJson(answer, storedValue) } }).dump(), {} });
                return;
            case StoreOutcome::NotFound:
                respond({ 404, Json({ { "CurrentRev", answer.revision.value() } }).dump(), {} });
                return;
            case StoreOutcome::HistoryGone:
                respond({ 410, "{}", {} });
                return;
            case StoreOutcome::Refused:
                respond({ 503, "{}", {} });
                return;
            case StoreOutcome::Unknown:
                return; // simulates a lost answer
            }
        };
    }

    jobs::Batch parseBatch(const Json& body)
    {
        jobs::Batch batch;
        for (const Json& row : body.at("Expected"))
            batch.preconditions.push_back({ row.at("Key"), Revision(row.at("Revision").get<std::int64_t>()) });
        for (const Json& row : body.at("Writes"))
            batch.puts.push_back({ row.at("Key"), decode(row.at("Value")), row.value("Lease", std::int64_t(0)) });
        for (const Json& key : body.at("Deletes"))
            batch.removals.push_back(key.get<std::string>());
        return batch;
    }

    Json leaseBody(const StoreResponse& answer)
    {
        return { { "Lease", answer.lease }, { "TtlMs", answer.leaseTtl.count() } };
    }

    // A page of the records after the key, as large as the platform's.
    Json pageBody(const StoreResponse& answer, const std::string& after, const RecordView& view)
    {
        constexpr std::size_t maximumItems = 500;
        constexpr std::size_t maximumBytes = 1024 * 1024;
        StoreResponse page;
        std::size_t bytes = 0;
        bool more = false;
        for (const jobs::Record& record : answer.records) {
            if (record.key <= after)
                continue;
            more = page.records.size() == maximumItems || (bytes > 0 && bytes + record.value.size() > maximumBytes);
            if (more)
                break;
            bytes += record.value.size();
            page.records.push_back(record);
        }
        return { { "items", recordsJson(page, view) }, { "CurrentRev", answer.revision.value() }, { "HasMore", more } };
    }

    Json watchBody(const StoreResponse& answer, const RecordView& view)
    {
        Json events = recordsJson(answer, view);
        for (const std::string& key : answer.removedKeys)
            events.push_back({ { "Key", key }, { "Revision", answer.revision.value() }, { "Deleted", true } });
        return { { "events", events }, { "CurrentRev", answer.revision.value() } };
    }

    bool isProgressOfOwner(const jobs::Batch& batch)
    {
        const auto namesOwner = [](const jobs::Precondition& row) { return row.key == jobs::keys::ownership; };
        const auto isProgress = [](const jobs::Put& put) {
            return put.key.compare(0, jobs::keys::progressPrefix.size(), jobs::keys::progressPrefix) == 0;
        };
        return std::any_of(batch.preconditions.begin(), batch.preconditions.end(), namesOwner)
            && std::any_of(batch.puts.begin(), batch.puts.end(), isProgress);
    }

    void serveCommit(reactor::EventLoop& loop, jobs::SimStoreClient& store, const WriteFault& configured,
        const ServerRequest& request, const Responder& respond)
    {
        static std::mt19937 random(1);
        const jobs::Batch batch = parseBatch(Json::parse(request.body));
        const bool matches = configured.progressOnly ? isProgressOfOwner(batch) : batch.hasChanges();
        const bool harmed = matches && std::uniform_real_distribution<>(0, 1)(random) < configured.share;
        const WriteFault fault = harmed ? configured : WriteFault {};
        const Responder answer = [&loop, fault, respond](const reactor::ServerResponse& response) {
            if (fault.loseAnswers)
                return;
            if (fault.answerDelay == Milliseconds(0))
                respond(response);
            else
                loop.after(fault.answerDelay, [respond, response] { respond(response); });
        };
        const auto commit = [&store, batch, answer] {
            store.commit(batch, serverTimeout, storeResponder(answer, [](const StoreResponse& committed) {
                return Json({ { "Revision", committed.revision.value() } });
            }));
        };
        if (fault.executionDelay == Milliseconds(0))
            commit();
        else
            loop.after(fault.executionDelay, commit);
    }

    void serveStoreCall(reactor::EventLoop& loop, jobs::SimStoreClient& store, const WriteFault& fault,
        const RecordView& view, const ServerRequest& request, const Responder& respond)
    {
        static const std::string root = "/rosemarylink/kv-";
        const Poco::URI uri(request.head.getURI());
        const std::string& path = uri.getPath();
        std::map<std::string, std::string> query;
        for (const auto& [name, value] : uri.getQueryParameters())
            query[name] = value;
        const std::string kind = path.substr(root.size(), path.find('/', root.size()) - root.size());
        const auto number = [&query](const char* name) { return std::stoll(query.at(name)); };
        const auto lease = [&path] { return std::stoll(path.substr(path.rfind('/') + 1)); };
        if (kind == "key") {
            store.read(query.at("Key"), serverTimeout, storeResponder(respond, [view](const StoreResponse& answer) {
                return recordJson(answer.records.front(), view);
            }));
        } else if (kind == "range") {
            store.list(query.at("Prefix"), serverTimeout,
                storeResponder(respond, [view, after = query["After"]](const StoreResponse& answer) {
                    return pageBody(answer, after, view);
                }));
        } else if (kind == "watch") {
            store.watch(query.at("Prefix"), Revision(number("After")), Milliseconds(number("WaitMs")),
                storeResponder(respond, [view](const StoreResponse& answer) { return watchBody(answer, view); }));
        } else if (kind == "txn") {
            serveCommit(loop, store, fault, request, respond);
        } else if (kind == "lease") {
            store.grantLease(Milliseconds(Json::parse(request.body).at("TtlMs").get<std::int64_t>()), serverTimeout,
                storeResponder(respond, leaseBody));
        } else if (kind == "keep") {
            store.keepLease(lease(), serverTimeout, storeResponder(respond, leaseBody));
        } else if (kind == "lease-end") {
            store.endLease(
                lease(), serverTimeout, storeResponder(respond, [](const StoreResponse&) { return Json::object(); }));
        } else {
            respond({ 404, "{}", {} });
        }
    }

    const char* reasonOf(jobs::CommandOutcome outcome)
    {
        switch (outcome) {
        case jobs::CommandOutcome::Fenced:
            return "fence";
        case jobs::CommandOutcome::StaleRun:
            return "old";
        case jobs::CommandOutcome::LeaseExpired:
            return "late";
        default:
            return "room";
        }
    }

    std::function<void(const jobs::CommandResponse&)> orderResponder(const Responder& respond)
    {
        return [respond](const jobs::CommandResponse& answer) {
            const Json clock = { { "ClockMs", answer.workerClock.count() } };
            if (answer.outcome == jobs::CommandOutcome::Unknown)
                return; // simulates a worker that does not answer
            if (answer.outcome == jobs::CommandOutcome::Accepted) {
                respond({ 200, clock.dump(), {} });
                return;
            }
            Json body = clock;
            body["Reason"] = reasonOf(answer.outcome);
            respond({ 409, body.dump(), {} });
        };
    }

    Json reportBody(const jobs::WorkerReport& report)
    {
        Json body = { { "ClockMs", report.workerClock.count() }, { "born", report.startTimeMs },
            { "Running", Json::array() }, { "Ended", Json::array() } };
        for (const jobs::RunningRun& run : report.running)
            body["Running"].push_back({ jobs::taskName(run.task), run.run, run.checkpoint, run.percent });
        for (const jobs::EndedRun& end : report.ended)
            body["Ended"].push_back({ end.number, jobs::taskName(end.task), end.run,
                std::string(jobs::runEndName(end.end)), end.checkpoint });
        return body;
    }

    jobs::TaskKey taskOf(const Json& body)
    {
        const auto task = jobs::parseTaskName(body.at("Task").get<std::string>());
        if (!task)
            throw std::invalid_argument("not a task: " + body.at("Task").get<std::string>());
        return *task;
    }

    void serveWorkerCall(jobs::SimWorkerClient& workers, const jobs::WorkerEntry& worker, const ServerRequest& request,
        const Responder& respond)
    {
        const std::string& path = request.head.getURI();
        const Json body = Json::parse(request.body);
        const FencingToken token(body.at("FencingToken").get<std::int64_t>());
        const Milliseconds leaseEnd(body.value("DeadlineMs", std::int64_t(0)));
        if (path == "/rosemarylink/run-start") {
            workers.start(worker,
                { taskOf(body), body.at("Run"), body.at("Spec"), body.value("Checkpoint", std::string()) }, leaseEnd,
                token, orderResponder(respond));
        } else if (path == "/rosemarylink/run-stop") {
            workers.stop(worker, taskOf(body), body.at("Run"), token, orderResponder(respond));
        } else {
            workers.poll(worker, leaseEnd, token, body.value("AckCursor", std::int64_t(0)),
                Milliseconds(body.value("WaitMs", std::int64_t(0))),
                [respond](const Result<jobs::WorkerReport>& report) {
                    if (report)
                        respond({ 200, reportBody(report.value()).dump(), {} });
                    else if (report.error().code == ErrorCode::Fenced)
                        respond({ 409, R"({"Reason":"fence"})", {} });
                });
        }
    }

    std::unique_ptr<reactor::LoopHttpServer> serve(reactor::EventLoop& loop, const reactor::RequestHandler& handler)
    {
        auto server = reactor::LoopHttpServer::listen(loop, "127.0.0.1:0", {}, handler);
        if (!server)
            throw std::runtime_error(server.error().message);
        return std::move(server).value();
    }

} // namespace

std::unique_ptr<reactor::LoopHttpServer> serveStore(
    reactor::EventLoop& loop, jobs::SimStoreClient& store, const WriteFault& fault, const RecordView& view)
{
    return serve(loop, [&loop, &store, &fault, view](const ServerRequest& request, const Responder& respond) {
        serveStoreCall(loop, store, fault, view, request, respond);
    });
}

std::unique_ptr<reactor::LoopHttpServer> serveWorker(
    reactor::EventLoop& loop, jobs::SimWorkerClient& workers, const jobs::WorkerEntry& worker)
{
    return serve(loop, [&workers, worker](const ServerRequest& request, const Responder& respond) {
        serveWorkerCall(workers, worker, request, respond);
    });
}

std::string platformEntry(const jobs::WorkerEntry& worker, const std::string& address)
{
    return Json({ { "Service", worker.pool.value() }, { "Address", address }, { "Zone", "zone" }, { "State", "ready" },
                    { "born", worker.startTimeMs }, { "Labels", worker.labels },
                    { "Capacity",
                        { { "Cpu", worker.capacity.milliCores }, { "RequestedMb", worker.capacity.megabytes },
                            { "Gpu", worker.capacity.accelerators } } } })
        .dump();
}

std::string platformJob(const jobs::JobSpec& job)
{
    Json steps = Json::array();
    for (const jobs::StepSpec& step : job.steps) {
        steps.push_back({ { "Count", step.taskCount }, { "Cpu", step.perTask.milliCores },
            { "RequestedMb", step.perTask.megabytes }, { "Gpu", step.perTask.accelerators },
            { "EstimateMs", step.estimate.count() }, { "After", step.dependencies }, { "Gang", step.gang },
            { "Checkpointing", step.checkpointing } });
    }
    return Json({ { "Spec", job.payload }, { "Steps", steps } }).dump();
}

} // namespace rosemarylink::soak
