#include "rosemarylink/control/DeclarationFiles.h"
#include "rosemarylink/control/DeclarationRules.h"
#include "rosemarylink/generated/Declarations.h"

#include <map>

namespace rosemarylink::control {

namespace {

    std::string valueText(const nlohmann::json& value)
    {
        if (value.is_string())
            return value.get<std::string>();
        if (!value.is_array())
            return value.dump(); // shortest form of a number that parses to the same value
        std::string text;
        for (const auto& element : value)
            text += (text.empty() ? "" : ", ") + element.get<std::string>();
        return text;
    }

    // Writes all keys in the order of the specifications. Defaults are written too, so that a later change of a default
    // does not alter the meaning of an export.
    std::string formatSection(
        const std::string& header, const std::vector<SettingSpec>& specs, const nlohmann::json& values)
    {
        std::string text = "[" + header + "]\n";
        for (const SettingSpec& spec : specs) {
            const auto value = values.find(spec.key);
            if (value == values.end())
                continue;
            const std::string formatted = valueText(*value);
            text += spec.key + " =" + (formatted.empty() ? "" : " " + formatted) + "\n";
        }
        return text;
    }

    std::string formatAccount(const model::Account& account)
    {
        const declarations::AccountSection section { account.weight, account.keySha256, account.requestConcurrency,
            account.quotaAccelerators };
        return formatSection(
            "account " + account.id.value(), declarations::accountSectionSpecs(), declarations::toJson(section));
    }

    std::string formatGuarantee(const model::GuaranteedShape& shape)
    {
        const declarations::GuaranteeSection section { shape.region, shape.gangs, shape.tasks,
            shape.perTask.accelerators, shape.perTask.cores, shape.perTask.memory, shape.adjacency };
        return formatSection("guarantee " + shape.account.value() + "/" + shape.name,
            declarations::guaranteeSectionSpecs(), declarations::toJson(section));
    }

    std::string formatDeployment(const model::Declarations& all)
    {
        std::string text = formatSection("preset", declarations::presetSectionSpecs(),
            declarations::toJson(declarations::PresetSection { all.preset }));
        text += "\n"
            + formatSection("weights", declarations::weightsSectionSpecs(),
                declarations::toJson(
                    declarations::WeightsSection { all.weights.completion, all.weights.fragmentation }));
        for (const model::KindWorth& worth : all.worths) {
            text += "\n"
                + formatSection("worth " + worth.kind.value(), declarations::worthSectionSpecs(),
                    declarations::toJson(declarations::WorthSection { worth.worth }));
        }
        return text;
    }

} // namespace

std::vector<DeclarationFile> formatDeclarations(const model::Declarations& declarations)
{
    const model::Declarations all = normalized(declarations);
    std::vector<DeclarationFile> files { { "deployment.ini", formatDeployment(all) } };
    std::map<AccountId, std::string> accountTexts;
    for (const model::Account& account : all.accounts)
        accountTexts[account.id] = formatAccount(account);
    for (const model::GuaranteedShape& shape : all.guarantees)
        accountTexts[shape.account] += "\n" + formatGuarantee(shape);
    for (const auto& [account, text] : accountTexts)
        files.push_back({ "account-" + account.value() + ".ini", text });
    return files;
}

} // namespace rosemarylink::control
