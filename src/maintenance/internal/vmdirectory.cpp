#include "maintenance/vmdirectory.h"

#include "framework/settings/jsonreader.h"

#include <algorithm>

namespace laburnumspread::maintenance {

using framework::settings::FieldErrors;
using framework::settings::JsonReader;

absl::Status HttpVmDirectory::refresh(TimePoint Deadline) {
  framework::http::Request Message;
  Message.Method_ = "GET";
  Message.Target_ = "/platform/vms?since=" + std::to_string(Version_);
  const auto Answer = Client_.exchange(Message, Deadline);
  if (!Answer.ok())
    return Answer.status();
  if (Answer->Status_ != 200)
    return absl::UnavailableError("VM list: status " +
                                  std::to_string(Answer->Status_));
  const auto Document = framework::settings::parseJson(Answer->Body_);
  if (!Document.ok())
    return Document.status();
  FieldErrors Errors;
  JsonReader Reader(*Document, "", Errors);
  const std::int64_t Version = Reader.optionalInt("version", 0, {});
  // A platform without versions sends the complete list each time.
  if (Reader.optionalBool("complete", true))
    List_.clear();
  Reader.eachObject("vms", [&](JsonReader &Row) {
    ListedVm &Vm = List_[Row.requiredString("name")];
    Vm.Live_ = Row.requiredString("state") == "live";
    Vm.BootId_ = Row.requiredString("bootId");
  });
  for (const std::string &Name : Reader.stringList("gone"))
    List_.erase(Name);
  Version_ = std::max(Version, Version_);
  return absl::OkStatus();
}

absl::Status HttpVmDirectory::reboot(const std::string &Vm,
                                     const std::string &IfBootId,
                                     TimePoint Deadline) {
  framework::http::Request Message;
  Message.Method_ = "POST";
  Message.Target_ = "/platform/vms/" + Vm + "/reboot?ifBootId=" + IfBootId;
  const auto Answer = Client_.exchange(Message, Deadline);
  if (!Answer.ok())
    return Answer.status();
  return Answer->Status_ < 300
             ? absl::OkStatus()
             : absl::UnavailableError("reboot: status " +
                                      std::to_string(Answer->Status_));
}

} // namespace laburnumspread::maintenance
