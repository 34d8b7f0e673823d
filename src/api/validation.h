#pragma once

#include "config/fleettables.h"
#include "framework/settings/fielderror.h"

namespace laburnumspread::api {

/// Checks an object against the other objects: references to missing objects,
/// waves that overlap or that a pool's budget blocks. Each error names the
/// field and, if there is one, the smallest change that fixes it.
framework::settings::FieldErrors validate(const config::FleetTables &Tables,
                                          const fleet::Pool &Object);
framework::settings::FieldErrors validate(const config::FleetTables &Tables,
                                          const fleet::Vm &Object);
framework::settings::FieldErrors validate(const config::FleetTables &Tables,
                                          const fleet::Team &Object);
framework::settings::FieldErrors validate(const config::FleetTables &Tables,
                                          const fleet::Key &Object);
framework::settings::FieldErrors validate(const config::FleetTables &Tables,
                                          const fleet::Wave &Object);

/// Returns the reason why an object cannot be deleted; empty if it can be.
std::string deletionConflict(const config::FleetTables &Tables, fleet::Kind Of,
                             const std::string &Name);

} // namespace laburnumspread::api
