#pragma once

#include "config/fleettables.h"
#include "framework/settings/fielderror.h"

namespace laburnumspread::api {

/// Faults of an object that only show beside the others: references to what is
/// not there, waves that overlap or cannot go on. Each names the field and,
/// where there is one, the smallest change that would do.
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

/// Why an object cannot be deleted, or empty.
std::string deletionConflict(const config::FleetTables &Tables, fleet::Kind Of,
                             const std::string &Name);

} // namespace laburnumspread::api
