#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/generated/Model.h"

#include <string>
#include <vector>

namespace rosemarylink::control {

// A broken rule and the entity that breaks it, so that a reader of files can add the place.
struct DeclarationProblem {
    enum class Entity { Preset, Weights, Account, Guarantee, Worth };

    Entity entity = Entity::Preset;
    std::string name; // account id, "account/guarantee" or kind; empty for preset and weights
    std::string key; // as in the INI files
    std::string value;
    std::string allowed; // what the value must be
};

// The problem as "[account harbor] key ... has the value ...; it must be ...".
std::string problemText(const DeclarationProblem&);

// All rules between and beyond single values: unique names, known accounts, names that are safe in files and URLs,
// weights that add up to 1, well-formed and unshared key hashes, guarantees that ask for something and fit their
// account's quota. Key hashes are not part of any text.
std::vector<DeclarationProblem> findProblems(const model::Declarations&);

// Fails with InvalidArgument and the first problem.
Status checkDeclarations(const model::Declarations&);

// Orders accounts by id, guarantees by account and name, and worths by kind; equal declarations then compare equal.
model::Declarations normalized(model::Declarations);

// One line for each difference, such as "account harbor: weight 2 -> 3". Empty when nothing differs. Hashes of keys
// are shortened to their first 8 digits.
std::vector<std::string> describeChanges(const model::Declarations& before, const model::Declarations& after);

} // namespace rosemarylink::control
