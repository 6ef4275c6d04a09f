#include "ConfigWait.h"

#include "rosemarylink/control/TimeText.h"

namespace rosemarylink::control::internal {

namespace {

    // Small compared with the 8 s in which a version comes into force everywhere, and large enough not to load a
    // gateway.
    constexpr Milliseconds pollInterval { 250 };

    std::string behindText(const api::InForceView& view)
    {
        std::string text = std::to_string(view.behind.size()) + " instances are behind";
        for (std::size_t index = 0; index < view.behind.size(); ++index) {
            const api::InstanceVersion& instance = view.behind[index];
            text += (index == 0 ? ": " : ", ") + instance.instance.value() + " has version "
                + std::to_string(instance.version.value());
        }
        return text;
    }

    // Prints a state when it differs from the previous one.
    class ProgressReporter {
    public:
        ProgressReporter(std::ostream& out, ConfigVersion version)
            : out_(out)
            , version_(version)
        {
        }

        void report(const std::string& state)
        {
            if (state == last_)
                return;
            last_ = state;
            out_ << "version " << version_ << ": " << state << "\n" << std::flush;
        }

        const std::string& last() const { return last_; }

    private:
        std::ostream& out_;
        ConfigVersion version_;
        std::string last_;
    };

    // Whether retrying is useless. A refused key stays refused; other failures may end when instances restart or catch
    // up.
    bool isFinal(const CommandFailure& failure)
    {
        return failure.error.code == ErrorCode::Unauthenticated || failure.error.code == ErrorCode::PermissionDenied;
    }

} // namespace

Outcome<api::InForceView> waitUntilInForce(CommandContext& context, ConfigVersion version)
{
    const CommandEnvironment& environment = context.environment;
    const Milliseconds deadline = environment.clock.monotonic() + context.settings.waitTimeout;
    ProgressReporter progress(environment.errors, version);
    while (true) {
        const auto answer = context.client->get("/v1/config/versions/" + std::to_string(version.value()));
        if (answer) {
            BOOST_OUTCOME_TRY(view, checkedAnswer(api::parseInForceView(answer.value())));
            if (view.everywhere)
                return view;
            progress.report(behindText(view));
        } else if (isFinal(answer.error())) {
            return answer.error();
        } else {
            progress.report(answer.error().error.message);
        }
        if (environment.clock.monotonic() >= deadline) {
            return makeFailure(ExitCode::TimedOut,
                makeError(ErrorCode::DeadlineExceeded,
                    "version " + std::to_string(version.value())
                        + " is accepted, but was not in force everywhere after "
                        + formatDuration(context.settings.waitTimeout) + "; " + progress.last()));
        }
        environment.sleep(pollInterval);
    }
}

} // namespace rosemarylink::control::internal
