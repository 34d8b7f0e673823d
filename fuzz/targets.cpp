#include "fuzz/targets.h"

#include "api/callerapi.h"
#include "config/configtable.h"
#include "entry/entrysettings.h"
#include "fleet/resourcejson.h"
#include "framework/http/httptypes.h"
#include "membership/viewchanges.h"
#include "peers/messagecodec.h"
#include "platform/codecs.h"
#include "store/internal/gatewayjson.h"

#include <cstdlib>

#include <boost/json/serialize.hpp>

namespace laburnumspread::fuzz {

namespace {

/// Aborts the run if a checked property does not hold.
void require(bool Condition) {
  if (!Condition)
    std::abort();
}

/// Checks that a resource that is accepted reads back the same from its stored
/// form.
template <typename T> void checkResource(const boost::json::value &Document) {
  framework::settings::FieldErrors Errors;
  const T Object = fleet::readResource<T>(Document, Errors);
  if (!Errors.empty())
    return;
  const T RoundTripped = fleet::readStored<T>(Object.Metadata_.Name_,
                                              fleet::toStored(Object), Errors);
  require(Errors.empty());
  require(fleet::toJson(RoundTripped.Spec_) == fleet::toJson(Object.Spec_));
}

} // namespace

void settings(std::string_view Bytes) {
  const auto Read = entry::readSettings(Bytes, "fuzz");
  if (!Read.ok())
    require(!Read.status().message().empty());
}

void resources(std::string_view Bytes) {
  const auto Document = framework::settings::parseJson(Bytes);
  if (!Document.ok())
    return;
  checkResource<fleet::Pool>(*Document);
  checkResource<fleet::Vm>(*Document);
  checkResource<fleet::Team>(*Document);
  checkResource<fleet::Key>(*Document);
  checkResource<fleet::Wave>(*Document);
}

void headers(std::string_view Bytes) {
  framework::http::parseTarget(Bytes);
  framework::http::parseAddress(Bytes);
  api::parseSize(Bytes).IgnoreError();
  if (const auto Key = idempotency::parseIdempotencyKey(Bytes))
    require(idempotency::parseIdempotencyKey(Key->Text_).has_value());
}

void peers(std::string_view Bytes) {
  const auto Envelope = peers::decode(Bytes);
  if (!Envelope.ok())
    return;
  require(peers::decode(peers::encode(*Envelope)).ok());
}

void store(std::string_view Bytes) {
  store::readRangeAnswer(Bytes).IgnoreError();
  store::readTransactionAnswer(Bytes).IgnoreError();
  const std::function<bool(const store::WatchBatch &)> AcceptAll =
      [](const store::WatchBatch &) { return true; };
  store::WatchReader Reader(AcceptAll);
  Reader.feed(Bytes);
  membership::parseView(Bytes).IgnoreError();
  config::ConfigTable Table("/l/");
  for (const char *Key : {"/l/config/vms/0001", "/l/config/keys/0001"})
    Table.apply({{Key, std::string(Bytes), fleet::Revision(1)}},
                fleet::Revision(1));
}

namespace {

constexpr std::int64_t MaxAmount = 1'000'000'000;

void requireInRange(const jobs::Resources &Amount) {
  for (const std::int64_t Each :
       {Amount.MilliCpus_, Amount.MemoryMb_, Amount.Accelerators_})
    require(Each >= 0 && Each <= MaxAmount);
}

} // namespace

void platform(std::string_view Bytes) {
  namespace codecs = laburnumspread::platform;
  const std::string Value(Bytes);
  const auto Worker =
      codecs::readWorker({std::string(codecs::WorkersPrefix) + "w", Value, {}});
  if (Worker) {
    requireInRange(Worker->Capacity_);
    require(Worker->Incarnation_.StartedMs_ > 0);
    require(Worker->Remaining_ >= jobs::Duration::zero());
  }
  if (const auto Job = codecs::readJob(Bytes); Job.ok())
    for (const jobs::StepSpec &Step : Job->Steps_) {
      requireInRange(Step.PerTask_);
      require(Step.Estimate_ >= jobs::Duration::zero());
    }
  if (const auto Page = codecs::readMachines(Bytes); Page.ok())
    for (const cell::MachineRecord &Machine : Page->Machines_)
      requireInRange(Machine.Capacity_);
  if (const auto Config = codecs::readConfig(Bytes); Config.ok())
    for (const auto &[Name, Workspace] : Config->Workspaces_)
      requireInRange(Workspace.MaxAllowed_);
  codecs::readWave({std::string(codecs::WavePrefix) + "1", Value, {}});
  codecs::readEvacuation({Value, "", {}});
}

} // namespace laburnumspread::fuzz
