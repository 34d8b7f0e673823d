#pragma once

#include "fleet/resources.h"
#include "framework/settings/fielderror.h"
#include "framework/settings/jsonreader.h"

#include <boost/json/object.hpp>

namespace laburnumspread::fleet {

/// Reads the spec of a resource. Errors are reported through the reader with
/// their field path.
PoolSpec readSpec(framework::settings::JsonReader &Reader, const Pool *);
VmSpec readSpec(framework::settings::JsonReader &Reader, const Vm *);
TeamSpec readSpec(framework::settings::JsonReader &Reader, const Team *);
KeySpec readSpec(framework::settings::JsonReader &Reader, const Key *);
WaveSpec readSpec(framework::settings::JsonReader &Reader, const Wave *);

/// Reads a status written by toJson().
NoStatus readStatus(framework::settings::JsonReader &Reader, const NoStatus *);
VmStatus readStatus(framework::settings::JsonReader &Reader, const VmStatus *);
WaveStatus readStatus(framework::settings::JsonReader &Reader,
                      const WaveStatus *);

boost::json::object toJson(const PoolSpec &Spec);
boost::json::object toJson(const VmSpec &Spec);
boost::json::object toJson(const TeamSpec &Spec);
boost::json::object toJson(const KeySpec &Spec);
boost::json::object toJson(const WaveSpec &Spec);
boost::json::object toJson(const NoStatus &Status);
boost::json::object toJson(const VmStatus &Status);
boost::json::object toJson(const WaveStatus &Status);
boost::json::object toJson(const Condition &Value);

/// Whether a name is valid: 1 to 63 characters of a-z, 0-9, '-' and '.',
/// starting with a letter or digit.
bool validName(std::string_view Name);

/// Reads a resource submitted by an operator (`metadata.name`, `spec`). A
/// `status` is ignored, since only the system writes it.
template <typename T>
T readResource(const boost::json::value &Document,
               framework::settings::FieldErrors &Errors) {
  framework::settings::JsonReader Reader(Document, "", Errors);
  T Result;
  Reader.markKnown("kind");
  Reader.markKnown("status");
  auto Meta = Reader.child("metadata", true);
  Result.Metadata_.Name_ = Meta.requiredString("name");
  if (!Result.Metadata_.Name_.empty() && !validName(Result.Metadata_.Name_))
    Meta.addError("name", "must be 1 to 63 of a-z, 0-9, '-' and '.'");
  Meta.markKnown("generation");
  Meta.markKnown("resourceVersion");
  Meta.finish();
  auto Spec = Reader.child("spec", true);
  Result.Spec_ = readSpec(Spec, static_cast<const T *>(nullptr));
  Spec.finish();
  Reader.finish();
  return Result;
}

/// Reads a resource in its stored form.
template <typename T>
T readStored(std::string_view Name, const boost::json::value &Document,
             framework::settings::FieldErrors &Errors) {
  framework::settings::JsonReader Reader(Document, std::string(Name), Errors);
  T Result;
  Result.Metadata_.Name_ = std::string(Name);
  Result.Metadata_.Generation_ =
      Generation(Reader.optionalInt("generation", 1, {}));
  Result.Metadata_.ResourceVersion_ =
      Revision(Reader.optionalInt("resourceVersion", 0, {}));
  auto Spec = Reader.child("spec", true);
  Result.Spec_ = readSpec(Spec, static_cast<const T *>(nullptr));
  auto Status = Reader.child("status", false);
  Result.Status_ =
      readStatus(Status, static_cast<const typename T::Status *>(nullptr));
  return Result;
}

/// Stored form of a resource.
template <typename T> boost::json::object toStored(const T &Object) {
  boost::json::object Result;
  Result["generation"] = Object.Metadata_.Generation_.value();
  Result["resourceVersion"] = Object.Metadata_.ResourceVersion_.value();
  Result["spec"] = toJson(Object.Spec_);
  boost::json::object Status = toJson(Object.Status_);
  if (!Status.empty())
    Result["status"] = std::move(Status);
  return Result;
}

/// Form of a resource in the operator API.
template <typename T> boost::json::object toJson(const T &Object) {
  boost::json::object Meta;
  Meta["name"] = Object.Metadata_.Name_;
  Meta["generation"] = Object.Metadata_.Generation_.value();
  Meta["resourceVersion"] =
      std::to_string(Object.Metadata_.ResourceVersion_.value());
  boost::json::object Result;
  Result["kind"] = nameOf(KindOf<T>::Value);
  Result["metadata"] = std::move(Meta);
  Result["spec"] = toJson(Object.Spec_);
  Result["status"] = toJson(Object.Status_);
  return Result;
}

} // namespace laburnumspread::fleet
