#pragma once

#include "rosemarylink/jobs/JobProgress.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

// Load pattern: callers with a valid key submit jobs faster than the workers end them, until the owner, which holds all
// jobs that have not ended, would exceed its memory. Every later owner would do the same, since it reads the same jobs.
// The owner therefore closes the admission of new jobs for the accounts that hold most, before the memory is used up,
// and opens it again when their jobs have ended.
namespace rosemarylink::jobs::internal {

// The accounts whose new jobs are not accepted at present, as the owner stores it for all instances.
struct AdmissionClosure {
    bool all = false; // every account
    std::set<AccountId> accounts; // the empty id stands for queues that need no key

    bool empty() const { return !all && accounts.empty(); }
    bool contains(const AccountId& account) const { return all || accounts.count(account) > 0; }
    friend bool operator==(const AdmissionClosure& a, const AdmissionClosure& b)
    {
        return a.all == b.all && a.accounts == b.accounts;
    }
};

std::string closureRecord(const AdmissionClosure&);
// Fails with InvalidArgument for a malformed record.
Result<AdmissionClosure> parseClosureRecord(const std::string&);

// Estimated memory of a run: its entries for its worker and its task, its start command and its place in a plan. An
// owner has at most as many runs as fit into the memory for jobs.
inline constexpr std::size_t bytesOfRun = 2048;

// Estimated memory that an owner needs for a job none of whose tasks has started.
std::size_t jobBytes(const JobSpec&);

// Estimated memory that an owner needs for a job with its present runs.
std::size_t jobBytes(const Job&);

// Decides for which accounts the admission is closed. An account may hold as much as is left free by all accounts
// together: one alone uses half of the limit, two come to a third each, and there is always room for an account that
// holds little.
class JobMemory {
public:
    explicit JobMemory(std::size_t limitBytes)
        : limit_(limitBytes)
    {
    }

    void clear();
    void add(const AccountId&, std::size_t bytes);
    std::size_t total() const { return total_; }

    // `present` is the closure in force. An account that it contains is opened again only when it holds clearly less
    // than it may, so that the stored closure does not change with every job.
    AdmissionClosure closure(const AdmissionClosure& present) const;

private:
    std::size_t limit_;
    std::size_t total_ = 0;
    std::map<AccountId, std::size_t> byAccount_;
};

} // namespace rosemarylink::jobs::internal
