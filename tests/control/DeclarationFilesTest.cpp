#include "DeclarationSamples.h"
#include "TemporaryDirectory.h"

#include "rosemarylink/control/DeclarationRules.h"

#include <catch2/catch.hpp>

namespace rosemarylink::control {
namespace {

    // Returns the error for the sample declarations after one replacement, or an empty text.
    std::string failureAfter(const std::string& old, const std::string& replacement)
    {
        DeclarationFile deployment { "d.ini", sampleDeployment() };
        DeclarationFile accounts { "a.ini", sampleAccounts() };
        int replaced = 0;
        for (DeclarationFile* file : { &deployment, &accounts }) {
            const auto position = file->text.find(old);
            if (position == std::string::npos)
                continue;
            file->text.replace(position, old.size(), replacement);
            ++replaced;
        }
        REQUIRE(replaced == 1);
        const auto result = parseDeclarationFiles({ deployment, accounts });
        return result ? "" : result.error().message;
    }

    TEST_CASE("sample declarations are read")
    {
        const model::Declarations all = sampleDeclarations();
        CHECK(all.preset == model::Preset::Ordinary);
        CHECK(all.weights.completion == 0.7);
        REQUIRE(all.accounts.size() == 2);
        CHECK(all.accounts[0].id == AccountId("depot"));
        CHECK_FALSE(all.accounts[0].quotaAccelerators);
        CHECK(all.accounts[1].quotaAccelerators == Accelerators(64));
        REQUIRE(all.guarantees.size() == 2);
        CHECK(all.guarantees[1].name == "night");
        CHECK(all.guarantees[1].perTask.accelerators == Accelerators(1));
        CHECK(all.worths.at(0).worth == 50);
    }

    TEST_CASE("an invalid value is refused with file, line, section, key, value and allowed values")
    {
        CHECK(failureAfter("weight = 3", "weight = heavy")
            == "a.ini:2: [account harbor] key \"weight\" has the value \"heavy\"; it must be a number from 0.001 to "
               "1000000");
        CHECK(failureAfter("gangs = 2", "gangs = 0")
            == "a.ini:7: [guarantee harbor/night] key \"gangs\" has the value \"0\"; it must be a whole number from 1 "
               "to 10000");
        CHECK(failureAfter("name = ordinary", "name = relaxed")
            == "d.ini:2: [preset] key \"name\" has the value \"relaxed\"; it must be one of ordinary, peak, "
               "maintenance");
        CHECK(failureAfter("adjacency = worker", "adjacency = building")
            == "a.ini:18: [guarantee depot/match] key \"adjacency\" has the value \"building\"; it must be one of "
               "worker, rack, neighbouring-racks, region");
        CHECK(failureAfter("region = amman", "region = am man")
            == "a.ini:6: [guarantee harbor/night] key \"region\" has the value \"am man\"; it must be 1 to 64 letters, "
               "digits, dots, hyphens or underscores, starting with a letter or digit");
    }

    TEST_CASE("a number with a comma is refused and not parsed as a larger number")
    {
        CHECK(failureAfter("weight = 3", "weight = 1,5")
            == "a.ini:2: [account harbor] key \"weight\" has the value \"1,5\"; it must be a number from 0.001 to "
               "1000000");
        CHECK(failureAfter("gangs = 2", "gangs = 1,000")
            == "a.ini:7: [guarantee harbor/night] key \"gangs\" has the value \"1,000\"; it must be a whole number "
               "from 1 to 10000");
    }

    TEST_CASE("errors for unknown and missing names suggest the nearest or the allowed names")
    {
        CHECK(failureAfter("weight = 3", "wieght = 3")
            == "a.ini:2: [account harbor] unknown key \"wieght\"; did you mean \"weight\"?");
        CHECK(failureAfter("weight = 3\n", "")
            == "a.ini:1: [account harbor] key \"weight\" is missing; it must be a number from 0.001 to 1000000");
        CHECK(failureAfter("[account harbor]", "[acount harbor]")
                  .find("unknown section \"acount\"; did you mean "
                        "\"account\"?")
            != std::string::npos);
        CHECK(
            failureAfter("[account depot]", "[account]").find("it must look like [account NAME]") != std::string::npos);
        CHECK(failureAfter("[guarantee depot/match]", "[guarantee match]")
            == "a.ini:13: [guarantee match] the header lacks the account; it must look like [guarantee ACCOUNT/NAME]");
        CHECK(failureAfter("[preset]\nname = ordinary\n", "")
            == "the section [preset] is missing in all files; it must be given once, with the key \"name\" being one "
               "of ordinary, peak, maintenance");
    }

    TEST_CASE("duplicate sections are refused with both locations")
    {
        CHECK(failureAfter("[worth quote-drafting]\nworth = 50", "[account depot]\nweight = 2")
            == "a.ini:10: [account depot] is declared twice; the first is at d.ini:6; remove one of them");
        CHECK(failureAfter("[account depot]", "[account  harbor]")
            == "a.ini:10: [account  harbor] is declared twice; the first is at a.ini:1; remove one of them");
        CHECK(failureAfter("[account harbor]", "[preset]\nname = peak\n[account harbor]")
            == "a.ini:1: [preset] is declared twice; the first is at d.ini:1; remove one of them");
        CHECK(failureAfter("[worth quote-drafting]", "[preset]")
            == "d.ini:6: section [preset] appears twice; the first is on line 1");
    }

    TEST_CASE("violations of rules between sections are reported with file and line")
    {
        CHECK(failureAfter("[guarantee depot/match]", "[guarantee deport/match]")
            == "a.ini:13: [guarantee deport/match] key \"account\" has the value \"deport\"; it must be a declared "
               "account; allowed: depot, harbor");
        CHECK(failureAfter("completion = 0.7", "completion = 0.8")
            == "d.ini:4: [weights] key \"completion\" has the value \"0.8\"; it must be such that completion + "
               "fragmentation = 1; fragmentation is 0.3");
        CHECK(failureAfter("quotaAccelerators = 64", "quotaAccelerators = 31")
            == "a.ini:4: [account harbor] key \"quotaAccelerators\" has the value \"31\"; it must be at least 32, the "
               "sum of the account's guarantees");
        CHECK(failureAfter("tasks = 8\nacceleratorsPerTask = 1", "tasks = 8")
            == "a.ini:13: [guarantee depot/match] key \"acceleratorsPerTask\" has the value \"0\"; it must be at least "
               "1 unless cores or memory are guaranteed");
    }

    TEST_CASE("key hashes are checked, and a bearer key given instead of a hash is not printed")
    {
        const std::string malformed = failureAfter(harborHash1, "harbor-key-1");
        CHECK(malformed
            == "a.ini:3: [account harbor] key \"keySha256\" has the value \"(12 characters, not shown)\"; it must be "
               "the SHA-256 of the bearer key in 64 lower-case hexadecimal digits");
        CHECK(failureAfter(depotHash1, harborHash1).find("used once; account harbor has the same key")
            != std::string::npos);
        CHECK(failureAfter(harborHash1, harborHash1 + "," + harborHash2 + "," + std::string(64, '0'))
                  .find("at most two hashes")
            != std::string::npos);
    }

    TEST_CASE("all problems are reported, one per line")
    {
        const auto failure
            = [](const std::vector<DeclarationFile>& files) { return parseDeclarationFiles(files).error().message; };
        const DeclarationFile wrongTwice { "a.ini", "[account a]\nweight = 0\n[account b]\nwheight = 1\n" };
        CHECK(failure({ wrongTwice })
            == "a.ini:2: [account a] key \"weight\" has the value \"0\"; it must be a number from 0.001 to 1000000\n"
               "a.ini:4: [account b] unknown key \"wheight\"; did you mean \"weight\"?\n"
               "the section [preset] is missing in all files; it must be given once, with the key \"name\" being one "
               "of ordinary, peak, maintenance");
        CHECK(failure({ wrongTwice, { "b.ini", "stray\n" } })
            == "a.ini:2: [account a] key \"weight\" has the value \"0\"; it must be a number from 0.001 to 1000000\n"
               "a.ini:4: [account b] unknown key \"wheight\"; did you mean \"weight\"?\n"
               "b.ini:1: \"stray\" is neither a [section] nor a key = value line");
    }

    TEST_CASE("an export can be read again, and replaces existing files only on request")
    {
        const TemporaryDirectory directory;
        const model::Declarations all = sampleDeclarations();
        REQUIRE(writeDeclarationDirectory(directory.path(), all, false));
        CHECK(directory.files()
            == std::vector<std::string> { "account-depot.ini", "account-harbor.ini", "deployment.ini" });
        CHECK(model::toJson(readDeclarationDirectory(directory.path()).value()) == model::toJson(all));

        model::Declarations fewer = all;
        fewer.accounts.erase(fewer.accounts.begin());
        fewer.guarantees.erase(fewer.guarantees.begin());
        const auto refused = writeDeclarationDirectory(directory.path(), fewer, false);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().message.find("there are 3 files *.ini already") != std::string::npos);
        CHECK(directory.files().size() == 3);

        REQUIRE(writeDeclarationDirectory(directory.path(), fewer, true));
        CHECK(directory.files() == std::vector<std::string> { "account-harbor.ini", "deployment.ini" });
        CHECK(model::toJson(readDeclarationDirectory(directory.path()).value()) == model::toJson(fewer));
    }

    TEST_CASE("directories with no files or with subdirectories are refused")
    {
        const TemporaryDirectory directory;
        CHECK(readDeclarationDirectory(directory.path()).error().message.find("there are no files *.ini")
            != std::string::npos);
        directory.write("deployment.ini", sampleDeployment());
        directory.write("README.md", "not read");
        CHECK(readDeclarationDirectory(directory.path()));
        directory.makeSubdirectory("accounts");
        CHECK(readDeclarationDirectory(directory.path()).error().message.find("subdirectories are not read")
            != std::string::npos);
        CHECK(readDeclarationDirectory(directory.path() + "/none").error().message.find("cannot be read")
            != std::string::npos);
    }

} // namespace
} // namespace rosemarylink::control
