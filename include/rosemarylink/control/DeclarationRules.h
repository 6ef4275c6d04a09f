#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/generated/Model.h"

#include <string>
#include <vector>

namespace rosemarylink::control {

// A violated rule and the entity that violates it. A parser of files uses the entity to add file and line.
struct DeclarationProblem {
    enum class Entity { Preset, Weights, Account, Guarantee, Worth };

    Entity entity = Entity::Preset;
    std::string name; // account id, "account/guarantee" or kind; empty for preset and weights
    std::string key; // as in the INI files
    std::string value;
    std::string allowed; // what the value must be
};

// Formats the problem as "[account harbor] key ... has the value ...; it must be ...".
std::string problemText(const DeclarationProblem&);

// Checks the rules that the schema cannot express: unique names, declared accounts, names that are safe in files and
// URLs, weights that add up to 1, well-formed key hashes that no two accounts share, guarantees that are not empty and
// fit the quota of their account. No text contains a full key hash.
std::vector<DeclarationProblem> findProblems(const model::Declarations&);

// Fails with InvalidArgument and the text of the first problem.
Status checkDeclarations(const model::Declarations&);

// Orders accounts by id, guarantees by account and name, and worths by kind; equal declarations then compare equal.
model::Declarations normalized(model::Declarations);

// Returns one line for each difference, such as "account harbor: weight 2 -> 3". Empty when nothing differs. Key hashes
// are shortened to their first 8 digits.
std::vector<std::string> describeChanges(const model::Declarations& before, const model::Declarations& after);

} // namespace rosemarylink::control
