#include "rosemarylink/control/DeclarationRules.h"

#include "rosemarylink/control/Authenticator.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <tuple>

namespace rosemarylink::control {

namespace {

    using Entity = DeclarationProblem::Entity;

    constexpr double weightSumTolerance = 1e-6; // for the rounding of binary fractions
    constexpr const char* allowedName = "1 to 64 letters, digits, dots, hyphens or underscores, starting with a letter "
                                        "or digit";

    // Names are used in file names, section headers, URLs and metric labels.
    bool isSafeName(const std::string& name)
    {
        const auto isAlphanumeric
            = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'); };
        return !name.empty() && name.size() <= 64 && isAlphanumeric(name[0])
            && std::all_of(name.begin(), name.end(),
                [&](char c) { return isAlphanumeric(c) || c == '.' || c == '-' || c == '_'; });
    }

    std::string numberText(double number) { return nlohmann::json(number).dump(); }

    class DeclarationChecker {
    public:
        explicit DeclarationChecker(const model::Declarations& declarations)
            : declarations_(declarations)
        {
        }

        std::vector<DeclarationProblem> run()
        {
            checkWeights();
            for (const model::Account& account : declarations_.accounts)
                checkAccount(account);
            for (const model::GuaranteedShape& shape : declarations_.guarantees)
                checkGuarantee(shape);
            for (const model::KindWorth& worth : declarations_.worths)
                checkWorth(worth);
            checkQuotas();
            return std::move(problems_);
        }

    private:
        void addProblem(Entity entity, const std::string& name, const std::string& key, const std::string& value,
            const std::string& allowed)
        {
            problems_.push_back({ entity, name, key, value, allowed });
        }

        void checkWeights()
        {
            const model::Weights& weights = declarations_.weights;
            if (std::abs(weights.completion + weights.fragmentation - 1) <= weightSumTolerance)
                return;
            addProblem(Entity::Weights, "", "completion", numberText(weights.completion),
                "such that completion + fragmentation = 1; fragmentation is " + numberText(weights.fragmentation));
        }

        void checkAccount(const model::Account& account)
        {
            const std::string& id = account.id.value();
            if (!isSafeName(id))
                addProblem(Entity::Account, id, "name", id, allowedName);
            if (!accounts_.insert(account.id).second)
                addProblem(Entity::Account, id, "name", id, "unique; the account is declared twice");
            if (account.keySha256.size() > 2)
                addProblem(Entity::Account, id, "keySha256", std::to_string(account.keySha256.size()) + " hashes",
                    "at most two hashes; remove the oldest");
            for (const std::string& hash : account.keySha256)
                checkKey(id, hash);
        }

        void checkKey(const std::string& account, const std::string& hash)
        {
            if (!isSha256Hex(hash)) {
                // The value may be a bearer key entered by mistake, so it is not printed.
                addProblem(Entity::Account, account, "keySha256",
                    "(" + std::to_string(hash.size()) + " characters, not shown)",
                    "the SHA-256 of the bearer key in 64 lower-case hexadecimal digits");
                return;
            }
            const auto [position, isNew] = keyOwners_.emplace(hash, account);
            if (!isNew) {
                addProblem(Entity::Account, account, "keySha256", hash.substr(0, 8) + "...",
                    "used once; account " + position->second + " has the same key");
            }
        }

        void checkGuarantee(const model::GuaranteedShape& shape)
        {
            const std::string name = shape.account.value() + "/" + shape.name;
            if (!isSafeName(shape.name))
                addProblem(Entity::Guarantee, name, "name", shape.name, allowedName);
            if (!isSafeName(shape.region.value()))
                addProblem(Entity::Guarantee, name, "region", shape.region.value(), allowedName);
            if (!guarantees_.insert(name).second)
                addProblem(Entity::Guarantee, name, "name", name, "unique; the guarantee is declared twice");
            if (accounts_.count(shape.account) == 0) {
                addProblem(Entity::Guarantee, name, "account", shape.account.value(),
                    "a declared account; allowed: " + accountNames());
            }
            if (shape.perTask.cores.value() + shape.perTask.memory.value() + shape.perTask.accelerators.value() == 0)
                addProblem(Entity::Guarantee, name, "acceleratorsPerTask", "0",
                    "at least 1 unless cores or memory are guaranteed");
        }

        void checkWorth(const model::KindWorth& worth)
        {
            const std::string& kind = worth.kind.value();
            if (!isSafeName(kind))
                addProblem(Entity::Worth, kind, "name", kind, allowedName);
            if (!kinds_.insert(kind).second)
                addProblem(Entity::Worth, kind, "name", kind, "unique; the worth of the kind is declared twice");
        }

        void checkQuotas()
        {
            for (const model::Account& account : declarations_.accounts) {
                std::int64_t guaranteed = 0;
                for (const model::GuaranteedShape& shape : declarations_.guarantees) {
                    if (shape.account == account.id)
                        guaranteed += shape.gangs * shape.tasks * shape.perTask.accelerators.value();
                }
                if (account.quotaAccelerators && account.quotaAccelerators->value() < guaranteed) {
                    addProblem(Entity::Account, account.id.value(), "quotaAccelerators",
                        std::to_string(account.quotaAccelerators->value()),
                        "at least " + std::to_string(guaranteed) + ", the sum of the account's guarantees");
                }
            }
        }

        std::string accountNames() const
        {
            std::string names;
            for (const AccountId& account : accounts_)
                names += (names.empty() ? "" : ", ") + account.value();
            return names.empty() ? "none" : names;
        }

        const model::Declarations& declarations_;
        std::vector<DeclarationProblem> problems_;
        std::set<AccountId> accounts_;
        std::set<std::string> guarantees_;
        std::set<std::string> kinds_;
        std::map<std::string, std::string> keyOwners_; // account by hash
    };

    const char* entityName(Entity entity)
    {
        switch (entity) {
        case Entity::Preset:
            return "preset";
        case Entity::Weights:
            return "weights";
        case Entity::Account:
            return "account";
        case Entity::Guarantee:
            return "guarantee";
        case Entity::Worth:
            return "worth";
        }
        return "";
    }

} // namespace

std::vector<DeclarationProblem> findProblems(const model::Declarations& declarations)
{
    return DeclarationChecker(declarations).run();
}

std::string problemText(const DeclarationProblem& problem)
{
    const std::string name = problem.name.empty() ? "" : " " + problem.name;
    return std::string("[") + entityName(problem.entity) + name + "] key \"" + problem.key + "\" has the value \""
        + problem.value + "\"; it must be " + problem.allowed;
}

Status checkDeclarations(const model::Declarations& declarations)
{
    const auto problems = findProblems(declarations);
    return problems.empty() ? okStatus() : Status(invalidArgument(problemText(problems.front())));
}

model::Declarations normalized(model::Declarations declarations)
{
    std::sort(declarations.accounts.begin(), declarations.accounts.end(),
        [](const auto& a, const auto& b) { return a.id < b.id; });
    std::sort(declarations.guarantees.begin(), declarations.guarantees.end(),
        [](const auto& a, const auto& b) { return std::tie(a.account, a.name) < std::tie(b.account, b.name); });
    std::sort(declarations.worths.begin(), declarations.worths.end(),
        [](const auto& a, const auto& b) { return a.kind < b.kind; });
    return declarations;
}

} // namespace rosemarylink::control
