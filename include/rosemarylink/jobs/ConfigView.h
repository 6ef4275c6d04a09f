#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/jobs/Catalog.h"
#include "rosemarylink/jobs/Timers.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace rosemarylink::jobs {

// Holds the newest configuration that this process has read from the store; an older one never replaces it. A small
// configuration is watched for changes and confirmed by reading it. A large one is confirmed by a precondition on its
// revision, so that it is transferred only when it has changed. Must be used on the event loop's thread.
class ConfigView {
public:
    ConfigView(RecordStore&, const Catalog&, Timers&, const Clock&);

    // Reads the configuration and starts watching it for changes. Must be called once.
    void start();

    // Calls the handler once with a configuration that the store has confirmed as the newest since at most 1 s before
    // the call: before returning if there is such a confirmation, otherwise after a call to the store. A confirmation
    // may be up to 2 s old when it arrives. Passes null when the store could not confirm the configuration in time.
    void whenConfirmed(std::function<void(const Configuration*)> handler);

    // Like whenConfirmed(), but since at most 100 ms before the call. For writes that name the configuration's
    // revision: the response to such a write contains the configuration if it has been replaced.
    void whenJustConfirmed(std::function<void(const Configuration*)> handler);

    // Null until a configuration has been read.
    const Configuration* current() const { return configuration_ ? &*configuration_ : nullptr; }

    // Tells that a call to the store was refused or not answered. The view then probes the store until it responds.
    void recordFailedCall();

    // True while no call of the view has succeeded for a fraction of a second after a failed call. The caller of a
    // request need not wait for another failure then. The view notices by itself when the store is back.
    bool storeOutOfReach() const;

    // Sets what is called, from a timer, when the store has come in reach again.
    void onReachable(std::function<void()> handler) { onReachable_ = std::move(handler); }

    // Time since the store last confirmed the configuration; nullopt if it never has.
    std::optional<Milliseconds> age() const;

    // True if a transfer of the configuration's record takes a notable time on a small link, so that calls whose
    // response may contain it are to be avoided.
    bool isLarge() const;

    // Store revision of the current configuration's record.
    Revision revision() const { return revision_; }

    // Applies the configuration record if it is newer than the current one; other records are ignored. `requestedAt` is
    // the monotonic time at which the store call that returned it was sent, or 0 if the record is not known to be the
    // newest.
    void apply(const Record&, Milliseconds requestedAt);

private:
    void whenConfirmedWithin(Milliseconds maximumAge, std::function<void(const Configuration*)> handler);
    void watchChanges();
    void refresh();
    void handleConfirmation(const StoreResponse&, Milliseconds requestedAt);
    void recordReach(const StoreResponse&, Milliseconds requestedAt);
    void probe();
    void notifyWaiting(bool confirmed);

    RecordStore& store_;
    const Catalog& catalog_;
    Timers& timers_;
    const Clock& clock_;
    std::optional<Configuration> configuration_;
    Revision revision_ { 0 };
    std::size_t recordBytes_ = 0; // size of the current configuration's record
    Revision watchedRevision_ { 0 }; // of the store; later changes are still to be watched for
    std::optional<Milliseconds> confirmedAt_; // send time of the last call that confirmed it
    std::optional<Milliseconds> failingSince_; // time of the first failed call since one succeeded
    struct Waiting {
        std::function<void(const Configuration*)> handler;
        Milliseconds confirmedSince { 0 }; // the handler needs a confirmation that was requested then or later
        bool repeated = false; // one confirmation has been too old for it
    };
    std::vector<Waiting> waiting_;
    std::function<void()> onReachable_;
    bool refreshing_ = false;
    std::uint64_t lastRefresh_ = 0; // number of the latest confirmation; earlier ones have been given up
    int failedPreconditions_ = 0; // number of consecutive preconditions that were refused or got no response
    bool probing_ = false; // the timer for the next probe is set
};

} // namespace rosemarylink::jobs
