#include "fleet/resourcejson.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

namespace laburnumspread::fleet {

namespace json = boost::json;
using framework::settings::JsonReader;

namespace {

constexpr std::int64_t MaxSlots = 4096;
constexpr std::int64_t MaxLimit = 1'000'000;
constexpr std::int64_t MaxVms = 1'000'000;
constexpr std::size_t Sha256HexLength = 64;

/// Names of the values of an enumeration, in declaration order.
template <typename Enum, std::size_t N> struct EnumNames {
  std::array<std::string_view, N> Names_;

  std::string_view nameOf(Enum Value) const {
    return Names_[static_cast<std::size_t>(Value)];
  }
  std::optional<Enum> find(std::string_view Name) const {
    const auto At = std::find(Names_.begin(), Names_.end(), Name);
    if (At == Names_.end())
      return std::nullopt;
    return static_cast<Enum>(At - Names_.begin());
  }
  std::string choices() const {
    std::string Text = "must be one of";
    for (std::string_view Name : Names_)
      Text += " " + std::string(Name);
    return Text;
  }
};

constexpr EnumNames<Kind, 5> KindNames{
    {"pools", "vms", "teams", "keys", "waves"}};
constexpr EnumNames<VmPhase, 5> VmPhaseNames{
    {"active", "leaving", "rebooting", "probation", "failed"}};
constexpr EnumNames<WaveCommand, 3> WaveCommandNames{
    {"run", "pause", "cancel"}};
constexpr EnumNames<WavePhase, 6> WavePhaseNames{
    {"pending", "running", "halted", "paused", "cancelled", "complete"}};
constexpr EnumNames<ConditionStatus, 3> ConditionNames{
    {"True", "False", "Unknown"}};
constexpr EnumNames<RequestClass, 3> ClassNames{{"urgent", "normal", "batch"}};
constexpr EnumNames<Outcome, 3> OutcomeNames{{"ran", "not-run", "unknown"}};

template <typename Enum, std::size_t N>
Enum readEnum(JsonReader &Reader, std::string_view Field,
              const EnumNames<Enum, N> &Names, Enum Default) {
  const std::string Text = Reader.optionalString(Field, Names.nameOf(Default));
  if (auto Value = Names.find(Text))
    return *Value;
  Reader.addError(Field, Names.choices());
  return Default;
}

/// Parses a budget such as "3" or "10%".
std::optional<CountOrPercent> parseAmount(std::string_view Text) {
  CountOrPercent Result;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Result.Value_);
  std::string_view Rest(Parsed.ptr, Text.data() + Text.size() - Parsed.ptr);
  Result.Percent_ = Rest == "%";
  if (Parsed.ec != std::errc() || !(Rest.empty() || Result.Percent_) ||
      (Result.Percent_ && Result.Value_ > 100))
    return std::nullopt;
  return Result;
}

std::string toText(const CountOrPercent &Value) {
  return std::to_string(Value.Value_) + (Value.Percent_ ? "%" : "");
}

std::optional<CountOrPercent> readAmount(JsonReader &Reader,
                                         std::string_view Field) {
  if (!Reader.has(Field))
    return std::nullopt;
  const std::string Text = Reader.optionalString(Field, "");
  std::optional<CountOrPercent> Value = parseAmount(Text);
  if (!Value)
    Reader.addError(Field,
                    "must be a count or a percentage up to 100%, as \"3\" "
                    "or \"10%\"");
  return Value;
}

std::uint32_t readCount(JsonReader &Reader, std::string_view Field,
                        std::int64_t Default, std::int64_t Low,
                        std::int64_t High) {
  return static_cast<std::uint32_t>(
      Reader.optionalInt(Field, Default, {Low, High}));
}

std::string readReference(JsonReader &Reader, std::string_view Field) {
  std::string Name = Reader.requiredString(Field);
  if (!Name.empty() && !validName(Name))
    Reader.addError(Field, "is not a valid name");
  return Name;
}

template <typename Name> json::array toArray(const std::vector<Name> &Names) {
  json::array Result;
  for (const Name &Item : Names)
    Result.emplace_back(Item.str());
  return Result;
}

template <typename Name>
std::vector<Name> readNames(JsonReader &Reader, std::string_view Field) {
  std::vector<Name> Result;
  for (std::string &Text : Reader.stringList(Field))
    Result.emplace_back(std::move(Text));
  return Result;
}

framework::clock::TimePoint readTime(JsonReader &Reader,
                                     std::string_view Field) {
  return framework::clock::fromMicros(Reader.optionalInt(Field, 0, {}));
}

std::vector<Condition> readConditions(JsonReader &Reader) {
  std::vector<Condition> Result;
  Reader.eachObject("conditions", [&](JsonReader &Item) {
    Condition Value;
    Value.Type_ = Item.requiredString("type");
    Value.Status_ =
        readEnum(Item, "status", ConditionNames, ConditionStatus::Unknown);
    Value.Reason_ = Item.optionalString("reason", "");
    Value.Message_ = Item.optionalString("message", "");
    Value.ObservedGeneration_ =
        Generation(Item.optionalInt("observedGeneration", 0, {}));
    Result.push_back(std::move(Value));
  });
  return Result;
}

} // namespace

std::string_view nameOf(Kind Value) { return KindNames.nameOf(Value); }
std::optional<Kind> parseKind(std::string_view Name) {
  return KindNames.find(Name);
}
std::string_view nameOf(VmPhase Phase) { return VmPhaseNames.nameOf(Phase); }
std::string_view nameOf(WaveCommand Command) {
  return WaveCommandNames.nameOf(Command);
}
std::string_view nameOf(WavePhase Phase) {
  return WavePhaseNames.nameOf(Phase);
}
std::string_view nameOf(RequestClass Class) { return ClassNames.nameOf(Class); }
std::string_view nameOf(Outcome Value) { return OutcomeNames.nameOf(Value); }

bool validName(std::string_view Name) {
  constexpr std::size_t MaxNameLength = 63;
  auto IsAlphanumeric = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9');
  };
  return !Name.empty() && Name.size() <= MaxNameLength &&
         IsAlphanumeric(Name[0]) &&
         std::all_of(Name.begin(), Name.end(), [&](char C) {
           return IsAlphanumeric(C) || C == '-' || C == '.';
         });
}

PoolSpec readSpec(JsonReader &Reader, const Pool *) {
  PoolSpec Spec;
  auto Budget = Reader.child("budget", false);
  Spec.Budget_.Pool_ =
      readAmount(Budget, "maxUnavailable").value_or(Spec.Budget_.Pool_);
  Spec.Budget_.Zone_ = readAmount(Budget, "maxUnavailablePerZone");
  Spec.Budget_.Rack_ = readAmount(Budget, "maxUnavailablePerRack");
  Budget.finish();
  Spec.MinimumVms_ = readCount(Reader, "minimumVms", 0, 0, MaxVms);
  Spec.QueueLimit_ =
      readCount(Reader, "queueLimit", Spec.QueueLimit_, 0, MaxLimit);
  Spec.EjectionCapPercent_ =
      readCount(Reader, "ejectionCapPercent", Spec.EjectionCapPercent_, 0, 100);
  Spec.Spare_ = Reader.optionalBool("spare", false);
  return Spec;
}

VmSpec readSpec(JsonReader &Reader, const Vm *) {
  VmSpec Spec;
  Spec.Pool_ = PoolName(readReference(Reader, "pool"));
  Spec.Zone_ = ZoneName(readReference(Reader, "zone"));
  Spec.Rack_ = RackName(readReference(Reader, "rack"));
  Spec.Address_ = Reader.requiredString("address");
  Spec.Slots_ = Slots(readCount(Reader, "slots", 8, 1, MaxSlots));
  Spec.Size_.Cpus_ =
      MilliCpus(1000 * readCount(Reader, "cpus", 16, 1, 1 << 20));
  Spec.Size_.Memory_ =
      Megabytes(Reader.optionalInt("memoryMb", 32 * 1024, {1, 1LL << 40}));
  Spec.Size_.Accelerators_ =
      Accelerators(readCount(Reader, "accelerators", 0, 0, 1 << 20));
  Spec.Drain_ = Reader.optionalBool("drain", false);
  return Spec;
}

TeamSpec readSpec(JsonReader &Reader, const Team *) {
  TeamSpec Spec;
  Spec.Share_ = readCount(Reader, "share", 1, 1, MaxLimit);
  Spec.Limit_ =
      static_cast<std::uint32_t>(Reader.requiredInt("limit", {0, MaxLimit}));
  return Spec;
}

KeySpec readSpec(JsonReader &Reader, const Key *) {
  KeySpec Spec;
  Spec.Team_ = TeamName(readReference(Reader, "team"));
  Spec.Sha256_ = Reader.requiredString("sha256");
  const bool Hex =
      Spec.Sha256_.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!Spec.Sha256_.empty() && (!Hex || Spec.Sha256_.size() != Sha256HexLength))
    Reader.addError("sha256", "must be 64 lower-case hexadecimal digits");
  return Spec;
}

WaveSpec readSpec(JsonReader &Reader, const Wave *) {
  WaveSpec Spec;
  Spec.Pools_ = readNames<PoolName>(Reader, "pools");
  Spec.FirstBatch_ = readCount(Reader, "firstBatch", 1, 1, MaxVms);
  Spec.MaximumBatch_ =
      readCount(Reader, "maximumBatch", Spec.MaximumBatch_, 1, MaxVms);
  Spec.HaltAfterFailures_ = readCount(Reader, "haltAfterFailures",
                                      Spec.HaltAfterFailures_, 1, MaxVms);
  Spec.AcceptedFailures_ = readCount(Reader, "acceptedFailures", 0, 0, MaxVms);
  Spec.Command_ = readEnum(Reader, "run", WaveCommandNames, WaveCommand::Run);
  if (Spec.FirstBatch_ > Spec.MaximumBatch_)
    Reader.addError("firstBatch", "must not be above maximumBatch");
  return Spec;
}

NoStatus readStatus(JsonReader &, const NoStatus *) { return {}; }

VmStatus readStatus(JsonReader &Reader, const VmStatus *) {
  VmStatus Status;
  Status.Phase_ = readEnum(Reader, "phase", VmPhaseNames, VmPhase::Active);
  Status.Since_ = readTime(Reader, "sinceMicros");
  Status.Wave_ = WaveName(Reader.optionalString("wave", ""));
  Status.BootIdBeforeReboot_ = Reader.optionalString("bootBefore", "");
  Status.DoneWaves_ = readNames<WaveName>(Reader, "doneWaves");
  Status.LentTo_ = PoolName(Reader.optionalString("lentTo", ""));
  Status.LentSince_ = readTime(Reader, "lentSinceMicros");
  return Status;
}

WaveStatus readStatus(JsonReader &Reader, const WaveStatus *) {
  WaveStatus Status;
  Status.Phase_ = readEnum(Reader, "phase", WavePhaseNames, WavePhase::Pending);
  Status.Total_ = readCount(Reader, "total", 0, 0, MaxVms);
  Status.Batch_ = readCount(Reader, "batch", 0, 0, MaxVms);
  Status.Done_ = readCount(Reader, "done", 0, 0, MaxVms);
  Status.Failed_ = readCount(Reader, "failed", 0, 0, MaxVms);
  Status.InProgress_ = readCount(Reader, "inProgress", 0, 0, MaxVms);
  Status.Conditions_ = readConditions(Reader);
  Status.StartedAt_ = readTime(Reader, "startedMicros");
  Status.EndedAt_ = readTime(Reader, "endedMicros");
  return Status;
}

json::object toJson(const PoolSpec &Spec) {
  json::object Budget;
  Budget["maxUnavailable"] = toText(Spec.Budget_.Pool_);
  if (Spec.Budget_.Zone_)
    Budget["maxUnavailablePerZone"] = toText(*Spec.Budget_.Zone_);
  if (Spec.Budget_.Rack_)
    Budget["maxUnavailablePerRack"] = toText(*Spec.Budget_.Rack_);
  return {{"budget", std::move(Budget)},
          {"minimumVms", Spec.MinimumVms_},
          {"queueLimit", Spec.QueueLimit_},
          {"ejectionCapPercent", Spec.EjectionCapPercent_},
          {"spare", Spec.Spare_}};
}

json::object toJson(const VmSpec &Spec) {
  return {{"pool", Spec.Pool_.str()},
          {"zone", Spec.Zone_.str()},
          {"rack", Spec.Rack_.str()},
          {"address", Spec.Address_},
          {"slots", Spec.Slots_.value()},
          {"cpus", Spec.Size_.Cpus_.value() / 1000},
          {"memoryMb", Spec.Size_.Memory_.value()},
          {"accelerators", Spec.Size_.Accelerators_.value()},
          {"drain", Spec.Drain_}};
}

json::object toJson(const TeamSpec &Spec) {
  return {{"share", Spec.Share_}, {"limit", Spec.Limit_}};
}

json::object toJson(const KeySpec &Spec) {
  return {{"team", Spec.Team_.str()}, {"sha256", Spec.Sha256_}};
}

json::object toJson(const WaveSpec &Spec) {
  return {{"pools", toArray(Spec.Pools_)},
          {"firstBatch", Spec.FirstBatch_},
          {"maximumBatch", Spec.MaximumBatch_},
          {"haltAfterFailures", Spec.HaltAfterFailures_},
          {"acceptedFailures", Spec.AcceptedFailures_},
          {"run", nameOf(Spec.Command_)}};
}

json::object toJson(const NoStatus &) { return {}; }

json::object toJson(const VmStatus &Status) {
  json::object Result;
  Result["phase"] = nameOf(Status.Phase_);
  Result["sinceMicros"] = framework::clock::toMicros(Status.Since_);
  if (!Status.Wave_.empty())
    Result["wave"] = Status.Wave_.str();
  if (!Status.BootIdBeforeReboot_.empty())
    Result["bootBefore"] = Status.BootIdBeforeReboot_;
  if (!Status.DoneWaves_.empty())
    Result["doneWaves"] = toArray(Status.DoneWaves_);
  if (!Status.LentTo_.empty()) {
    Result["lentTo"] = Status.LentTo_.str();
    Result["lentSinceMicros"] = framework::clock::toMicros(Status.LentSince_);
  }
  return Result;
}

json::object toJson(const Condition &Value) {
  return {{"type", Value.Type_},
          {"status", ConditionNames.nameOf(Value.Status_)},
          {"reason", Value.Reason_},
          {"message", Value.Message_},
          {"observedGeneration", Value.ObservedGeneration_.value()}};
}

json::object toJson(const WaveStatus &Status) {
  json::array Conditions;
  for (const Condition &Value : Status.Conditions_)
    Conditions.push_back(toJson(Value));
  return {{"phase", nameOf(Status.Phase_)},
          {"total", Status.Total_},
          {"batch", Status.Batch_},
          {"done", Status.Done_},
          {"failed", Status.Failed_},
          {"inProgress", Status.InProgress_},
          {"conditions", std::move(Conditions)},
          {"startedMicros", framework::clock::toMicros(Status.StartedAt_)},
          {"endedMicros", framework::clock::toMicros(Status.EndedAt_)}};
}

} // namespace laburnumspread::fleet
