#include "rosemarylink/control/Authenticator.h"
#include "rosemarylink/control/DeclarationFiles.h"
#include "rosemarylink/control/DeclarationRules.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rosemarylink::control {
namespace {

    std::string anyName(const std::string& prefix, int index)
    {
        const auto rest = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcXYZ019._-")));
        return prefix + std::to_string(index) + rest.substr(0, 20);
    }

    // A number in the range with 52 random bits, which reveals rounding.
    double anyNumber(double minimum, double maximum)
    {
        const auto bits = *rc::gen::inRange<std::int64_t>(0, std::int64_t(1) << 52);
        const double share = static_cast<double>(bits) / static_cast<double>(std::int64_t(1) << 52);
        return minimum + (maximum - minimum) * share;
    }

    model::Account anyAccount(int index)
    {
        model::Account account;
        account.id = AccountId(anyName("a", index));
        account.weight = anyNumber(0.001, 1000000);
        const int keys = *rc::gen::inRange(0, 3);
        for (int key = 0; key < keys; ++key)
            account.keySha256.push_back(sha256Hex(std::to_string(index) + ":" + std::to_string(key)));
        account.requestConcurrency = *rc::gen::inRange(0, 1000001);
        return account;
    }

    model::GuaranteedShape anyGuarantee(int index, const AccountId& account)
    {
        model::GuaranteedShape shape;
        shape.name = anyName("g", index);
        shape.account = account;
        shape.region = RegionId(anyName("r", index));
        shape.gangs = *rc::gen::inRange(1, 10001);
        shape.tasks = *rc::gen::inRange(1, 129);
        shape.perTask = { Cores(*rc::gen::inRange(0, 100001)), Megabytes(*rc::gen::inRange(0, 1000000001)),
            Accelerators(*rc::gen::inRange(1, 9)) };
        shape.adjacency = *rc::gen::element(model::Adjacency::Worker, model::Adjacency::Rack,
            model::Adjacency::NeighbouringRacks, model::Adjacency::Region);
        return shape;
    }

    model::Declarations anyDeclarations()
    {
        model::Declarations all;
        all.preset = *rc::gen::element(model::Preset::Ordinary, model::Preset::Peak, model::Preset::Maintenance);
        all.weights.completion = anyNumber(0, 1);
        all.weights.fragmentation = 1 - all.weights.completion;
        const int accounts = *rc::gen::inRange(0, 8);
        for (int index = 0; index < accounts; ++index) {
            all.accounts.push_back(anyAccount(index));
            std::int64_t guaranteed = 0;
            const int guarantees = *rc::gen::inRange(0, 4);
            for (int guarantee = 0; guarantee < guarantees; ++guarantee) {
                all.guarantees.push_back(anyGuarantee(guarantee, all.accounts.back().id));
                const model::GuaranteedShape& shape = all.guarantees.back();
                guaranteed += shape.gangs * shape.tasks * shape.perTask.accelerators.value();
            }
            if (guaranteed <= 1000000 && *rc::gen::arbitrary<bool>())
                all.accounts.back().quotaAccelerators
                    = Accelerators(*rc::gen::inRange<std::int64_t>(guaranteed, 1000001));
        }
        const int worths = *rc::gen::inRange(0, 5);
        for (int index = 0; index < worths; ++index)
            all.worths.push_back({ KindId(anyName("k", index)), anyNumber(0, 1000000) });
        return all;
    }

    // Guards against a lost or rounded value in an export, which the next apply would silently put in force.
    TEST_CASE("an export of valid declarations parses to the same declarations")
    {
        rc::prop("round trip", [] {
            const model::Declarations all = anyDeclarations();
            RC_ASSERT(checkDeclarations(all).has_value());
            const auto read = parseDeclarationFiles(formatDeclarations(all));
            RC_ASSERT(read.has_value());
            RC_ASSERT(model::toJson(read.value()) == model::toJson(normalized(all)));
            RC_ASSERT(describeChanges(all, read.value()).empty());
        });
    }

    // Guards against a stored change without a line in the audit log.
    TEST_CASE("describeChanges reports a line if and only if declarations differ")
    {
        rc::prop("described", [] {
            const model::Declarations before = anyDeclarations();
            const model::Declarations after = anyDeclarations();
            const bool same = model::toJson(normalized(before)) == model::toJson(normalized(after));
            RC_ASSERT(describeChanges(before, after).empty() == same);
        });
    }

} // namespace
} // namespace rosemarylink::control
