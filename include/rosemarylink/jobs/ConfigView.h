#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/jobs/Catalog.h"
#include "rosemarylink/jobs/Timers.h"

#include <functional>
#include <optional>
#include <vector>

namespace rosemarylink::jobs {

// The newest configuration that this process has seen. Its version never goes back.
class ConfigView {
public:
    ConfigView(RecordStore&, const Catalog&, Timers&, const Clock&);

    // Reads the configuration and follows its changes.
    void start();

    // Calls the handler with the configuration if it was confirmed by the store within the last second, at once or
    // after reading it again; with null when the store could not confirm it.
    void whenFresh(std::function<void(const Configuration*)> handler);

    // Null before the first was read.
    const Configuration* current() const { return configuration_ ? &*configuration_ : nullptr; }

    // How long ago the store confirmed it; nothing before the first time.
    std::optional<Milliseconds> age() const;

    // Of the record that holds the current configuration.
    Revision revision() const { return revision_; }

    // Takes in a newer record that came with another answer of the store. askedAt is when that call was sent.
    void apply(const Record&, Milliseconds askedAt);

private:
    void follow(Revision after);
    void refresh();
    void answerWaiting(const Configuration*);

    RecordStore& store_;
    const Catalog& catalog_;
    Timers& timers_;
    const Clock& clock_;
    std::optional<Configuration> configuration_;
    Revision revision_ { 0 };
    std::optional<Milliseconds> confirmedAt_; // when the call was sent whose answer confirmed it
    std::vector<std::function<void(const Configuration*)>> waiting_;
    bool refreshing_ = false;
};

} // namespace rosemarylink::jobs
