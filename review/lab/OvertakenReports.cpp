// Responses of minions on different channels overtake each other, while some minions crash and return. Guards against a
// run that counts as ended because a report from before its start arrives after one that shows it (rule TWICE).
#include "Script.h"

#include <random>

int main(int argc, char** argv)
{
    if (argc < 2)
        return 2;
    constexpr int mostDelay = 150; // of a response, in milliseconds
    constexpr lab::Ms length = 68000; // of the traffic
    constexpr std::size_t crashes = 6; // one at a time, each on another rack
    constexpr lab::Ms crashEvery = 10000;
    constexpr lab::Ms downTime = 4500;
    constexpr lab::Ms jobEvery = 40;
    std::mt19937 random(std::random_device {}());
    lab::Script script(argv[1]);
    const auto upTo = [&random](int limit) { return static_cast<int>(random() % static_cast<unsigned>(limit)); };
    const auto upToMs = [&upTo](int limit) { return static_cast<lab::Ms>(upTo(limit)); };
    lab::Minion::workOf
        = [&](const std::string&) { return 1250 + upToMs(2500); }; // of meter-statement: 2.5 s, spread 0.5
    lab::Minion::responseDelay = [&] { return upToMs(mostDelay); };
    if (!script.awaitReady())
        return script.cannotRun("the instances did not become ready");
    int accepted = 0;
    const lab::Ms end = lab::now() + length;
    std::function<void()> submit = [&] {
        if (lab::now() >= end)
            return;
        script.call(upTo(7), "POST", script.newId(), lab::Script::job({ 2 + upTo(8) }, 2500), 3000,
            [&](const lab::Script::Answer& answer) { accepted += answer.status == 200 ? 1 : 0; });
        script.loop.after(jobEvery, submit);
    };
    submit();
    script.runFor(3000);
    if (script.trouble()) {
        for (std::size_t i = 0; i < crashes; ++i) {
            lab::Minion& minion = *script.minions[i * 8 + 3];
            script.loop.after(static_cast<lab::Ms>(i) * crashEvery, [&minion] { minion.crash(downTime); });
        }
    }
    script.runFor(end - lab::now() + 8000);
    if (accepted == 0)
        return script.cannotRun("no job was accepted");
    script.record.line(
        std::to_string(accepted) + " jobs accepted, " + std::to_string(script.runs.all().size()) + " runs");
    return script.finish("TWICE", script.runs.doubles);
}
