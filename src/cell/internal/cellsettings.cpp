#include "cell/cellsettings.h"

#include "framework/settings/settingsfile.h"

#include <algorithm>

namespace laburnumspread::cell {

using framework::settings::JsonReader;
using framework::settings::readCurveKey;

namespace {

constexpr std::int64_t MaxMillis = 3'600'000;
constexpr double MaxSeconds = 86'400;
constexpr double MaxFactor = 1000;
constexpr double MaxCores = 1024;
/// The store confirms an unchanged configuration each 0.9 s.
constexpr Duration LeastConfigDelay = std::chrono::milliseconds(1500);
constexpr double MaxLinkMbps = 1e6;
/// Smallest and largest limit on the values of the store that settings may
/// name, in bytes.
constexpr std::int64_t LeastMaxValueBytes = 4096;
constexpr std::int64_t MostMaxValueBytes = 1024 * 1024 * 1024;
/// Largest value that an entry writes, also to a store that takes larger ones.
/// Guards against a leader that writes more than its successor reads in one
/// answer, where a value is a third larger: no entry would lead again.
constexpr std::int64_t MostWrittenValueBytes = 8 * 1024 * 1024;

Address readAddress(JsonReader &Reader, std::string_view Field, bool Required) {
  const std::string Text = Required ? Reader.requiredString(Field)
                                    : Reader.optionalString(Field, "");
  const auto Parsed = framework::http::parseAddress(Text);
  if (!Text.empty() && !Parsed)
    Reader.addError(Field, "must be a numeric ip:port");
  return Parsed.value_or(Address());
}

void readMillis(JsonReader &Reader, std::string_view Field, Duration &Into) {
  const auto Default =
      std::chrono::duration_cast<std::chrono::milliseconds>(Into).count();
  Into = std::chrono::milliseconds(
      Reader.optionalInt(Field, Default, {0, MaxMillis}));
}

void readSeconds(JsonReader &Reader, std::string_view Field, Duration &Into) {
  const double Default = std::chrono::duration<double>(Into).count();
  Into = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      Reader.optionalNumber(Field, Default, 0, MaxSeconds)));
}

void readBounds(JsonReader Reader, CellBounds &Into) {
  readMillis(Reader, "longestHoldMs", Into.MaxLease_);
  readSeconds(Reader, "statusKeptSeconds", Into.StatusRetention_);
  readMillis(Reader, "gangTimeoutMs", Into.GangTimeout_);
  readMillis(Reader, "machineLeaseMs", Into.MachineOrderLease_);
  Into.RemoteDataFactor_ =
      Reader.optionalNumber("farFactor", Into.RemoteDataFactor_, 1, MaxFactor);
  readSeconds(Reader, "moveSeconds", Into.MoveDuration_);
  readSeconds(Reader, "upkeepSeconds", Into.UpkeepDuration_);
  readMillis(Reader, "evacuationMs", Into.EvacuationDelay_);
  readMillis(Reader, "configMs", Into.ConfigDelay_);
  if (Into.ConfigDelay_ != Duration::zero() &&
      Into.ConfigDelay_ < LeastConfigDelay)
    Reader.addError("configMs", "must be 0 or at least 1500");
  readSeconds(Reader, "graceSeconds", Into.GracePeriod_);
  Reader.finish();
}

void readLog(JsonReader Reader, CellSettings &Into) {
  const std::string Format = Reader.optionalString("format", "kv");
  if (Format != "kv" && Format != "json")
    Reader.addError("format", "must be kv or json");
  if (Format == "json")
    Into.LogFormat_ = framework::log::Format::Json;
  const std::string Level = Reader.optionalString("level", "info");
  if (absl::Status Parsed = framework::log::parseLevel(Level, Into.LogLevel_);
      !Parsed.ok())
    Reader.addError("level", std::string_view(Parsed.message().data(),
                                              Parsed.message().size()));
  Reader.finish();
}

CellSettings readFields(JsonReader &Reader) {
  CellSettings Result;
  Reader.markKnown("kind");
  Result.Name_ = fleet::EntryName(Reader.requiredString("name"));
  Result.Zone_ = ZoneName(Reader.requiredString("zone"));
  JsonReader Listen = Reader.child("listen", true);
  Result.CallerAddress_ = readAddress(Listen, "callers", true);
  Result.ReadinessAddress_ = readAddress(Listen, "readiness", true);
  Result.PeerAddress_ = readAddress(Listen, "peers", true);
  if (const Address Advertised = readAddress(Listen, "peersAdvertised", false);
      Advertised != Address())
    Result.AdvertisedPeerAddress_ = Advertised;
  Result.MetricsAddress_ = readAddress(Listen, "metrics", true);
  Listen.finish();
  JsonReader Store = Reader.child("store", true);
  Result.StoreAddress_ = readAddress(Store, "address", true);
  Result.StorePrefix_ = Store.optionalString("prefix", "laburnumspread/");
  if (!Result.StorePrefix_.ends_with('/'))
    Store.addError("prefix", "must end with '/'");
  const std::int64_t MaxValueBytes = Store.optionalInt(
      "valueBytes", static_cast<std::int64_t>(store::DefaultMaxValueBytes),
      {LeastMaxValueBytes, MostMaxValueBytes});
  Result.Bounds_.MaxValueBytes_ =
      static_cast<std::size_t>(std::min(MaxValueBytes, MostWrittenValueBytes));
  Store.finish();
  JsonReader Services = Reader.child("services", false);
  Result.MachineApiAddress_ = readAddress(Services, "machines", false);
  Result.AdvisorAddress_ = readAddress(Services, "advisor", false);
  Services.finish();
  JsonReader Capacity = Reader.child("capacity", false);
  Result.Cores_ = Capacity.optionalNumber("cores", Result.Cores_, 0, MaxCores);
  Result.LinkMbps_ =
      Capacity.optionalNumber("linkMbps", Result.LinkMbps_, 0, MaxLinkMbps);
  Capacity.finish();
  JsonReader Keys = Reader.child("peerKeys", true);
  Result.PeerKeys_.Public_ = readCurveKey(Keys, "public");
  Result.PeerKeys_.Secret_ = readCurveKey(Keys, "secret");
  Keys.finish();
  readBounds(Reader.child("bounds", false), Result.Bounds_);
  readLog(Reader.child("log", false), Result);
  Reader.finish();
  return Result;
}

} // namespace

absl::StatusOr<CellSettings>
readCellSettings(std::string_view Text, const std::string &File,
                 const framework::settings::FieldOverrides &Overrides) {
  return framework::settings::readSettingsText<CellSettings>(
      Text, File, Overrides, readFields);
}

absl::StatusOr<CellSettings>
loadCellSettings(const std::string &File,
                 const framework::settings::FieldOverrides &Overrides) {
  const auto Text = framework::settings::readSettingsFile(File);
  if (!Text.ok())
    return Text.status();
  return readCellSettings(*Text, File, Overrides);
}

std::string settingsNeedingRestart(const CellSettings &InForce,
                                   const CellSettings &Updated) {
  std::string Names;
  const auto Note = [&](bool Differs, std::string_view Name) {
    if (Differs)
      Names += (Names.empty() ? "" : ",") + std::string(Name);
  };
  Note(InForce.Name_ != Updated.Name_, "name");
  Note(InForce.Zone_ != Updated.Zone_, "zone");
  Note(InForce.CallerAddress_ != Updated.CallerAddress_ ||
           InForce.ReadinessAddress_ != Updated.ReadinessAddress_ ||
           InForce.PeerAddress_ != Updated.PeerAddress_ ||
           InForce.AdvertisedPeerAddress_ != Updated.AdvertisedPeerAddress_ ||
           InForce.MetricsAddress_ != Updated.MetricsAddress_,
       "listen");
  Note(InForce.StoreAddress_ != Updated.StoreAddress_ ||
           InForce.StorePrefix_ != Updated.StorePrefix_,
       "store");
  Note(InForce.MachineApiAddress_ != Updated.MachineApiAddress_ ||
           InForce.AdvisorAddress_ != Updated.AdvisorAddress_,
       "services");
  Note(InForce.PeerKeys_.Public_ != Updated.PeerKeys_.Public_ ||
           InForce.PeerKeys_.Secret_ != Updated.PeerKeys_.Secret_,
       "peerKeys");
  Note(InForce.Cores_ != Updated.Cores_ ||
           InForce.LinkMbps_ != Updated.LinkMbps_,
       "capacity");
  Note(InForce.LogFormat_ != Updated.LogFormat_, "log.format");
  return Names;
}

} // namespace laburnumspread::cell
