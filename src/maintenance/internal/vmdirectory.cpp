#include "maintenance/vmdirectory.h"

#include "framework/settings/jsonreader.h"

namespace laburnumspread::maintenance {

using framework::settings::FieldErrors;
using framework::settings::JsonReader;

absl::StatusOr<VmList> HttpVmDirectory::list(TimePoint Deadline) {
  framework::http::Request Message;
  Message.Method_ = "GET";
  Message.Target_ = "/platform/vms";
  const auto Answer = Client_.exchange(Message, Deadline);
  if (!Answer.ok())
    return Answer.status();
  if (Answer->Status_ != 200)
    return absl::UnavailableError("VM list: status " +
                                  std::to_string(Answer->Status_));
  const auto Document = framework::settings::parseJson(Answer->Body_);
  if (!Document.ok())
    return Document.status();
  VmList Result;
  FieldErrors Errors;
  JsonReader Reader(*Document, "", Errors);
  Reader.eachObject("vms", [&](JsonReader &Row) {
    ListedVm &Vm = Result[Row.requiredString("name")];
    Vm.Live_ = Row.requiredString("state") == "live";
    Vm.BootId_ = Row.requiredString("bootId");
  });
  return Result;
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
