#include "rosemarylink/control/DeclarationRules.h"

#include <map>

namespace rosemarylink::control {

namespace {

    using Fields = std::map<std::string, std::string>; // value text by key
    using Entities = std::map<std::string, Fields>; // by "account harbor", "guarantee harbor/night", ...

    std::string valueText(const std::string& key, const nlohmann::json& value)
    {
        if (key == "keySha256") {
            std::string text;
            for (const auto& hash : value)
                text += (text.empty() ? "" : ",") + hash.get<std::string>().substr(0, 8);
            return text;
        }
        return value.is_string() ? value.get<std::string>() : value.dump();
    }

    void addFields(Fields& fields, const nlohmann::json& object, const std::string& nameKey)
    {
        for (const auto& [key, value] : object.items()) {
            if (value.is_object())
                addFields(fields, value, nameKey);
            else if (key != nameKey)
                fields[key] = valueText(key, value);
        }
    }

    Entities entitiesOf(const model::Declarations& declarations)
    {
        Entities entities;
        entities["preset"]["name"] = std::string(model::presetName(declarations.preset));
        addFields(entities["weights"], model::toJson(declarations.weights), "");
        for (const model::Account& account : declarations.accounts)
            addFields(entities["account " + account.id.value()], model::toJson(account), "id");
        for (const model::GuaranteedShape& shape : declarations.guarantees) {
            Fields& fields = entities["guarantee " + shape.account.value() + "/" + shape.name];
            addFields(fields, model::toJson(shape), "name");
            fields.erase("account");
        }
        for (const model::KindWorth& worth : declarations.worths)
            addFields(entities["worth " + worth.kind.value()], model::toJson(worth), "kind");
        return entities;
    }

    std::string fieldsText(const Fields& fields)
    {
        std::string text;
        for (const auto& [key, value] : fields) {
            if (!value.empty())
                text += (text.empty() ? "" : ", ") + key + " " + value;
        }
        return text;
    }

    std::string valueOrNone(const Fields& fields, const std::string& key)
    {
        const auto position = fields.find(key);
        return position == fields.end() || position->second.empty() ? "none" : position->second;
    }

    std::string changedText(const Fields& before, const Fields& after)
    {
        Fields keys = before;
        keys.insert(after.begin(), after.end());
        std::string text;
        for (const auto& [key, value] : keys) {
            const std::string old = valueOrNone(before, key);
            const std::string updated = valueOrNone(after, key);
            if (old != updated)
                text += (text.empty() ? "" : ", ") + key + " " + old + " -> " + updated;
        }
        return text;
    }

} // namespace

std::vector<std::string> describeChanges(const model::Declarations& before, const model::Declarations& after)
{
    const Entities old = entitiesOf(before);
    const Entities updated = entitiesOf(after);
    std::vector<std::string> lines;
    for (const auto& [name, fields] : old) {
        const auto position = updated.find(name);
        if (position == updated.end())
            lines.push_back(name + " removed: " + fieldsText(fields));
        else if (const std::string text = changedText(fields, position->second); !text.empty())
            lines.push_back(name + ": " + text);
    }
    for (const auto& [name, fields] : updated) {
        if (old.count(name) == 0)
            lines.push_back(name + " added: " + fieldsText(fields));
    }
    // Hashes that share the printed first digits give no line above.
    if (lines.empty() && model::toJson(normalized(before)) != model::toJson(normalized(after)))
        lines.emplace_back("key hashes changed");
    return lines;
}

} // namespace rosemarylink::control
