#include "cell/cellsettings.h"

#include "framework/settings/settingsfile.h"

namespace laburnumspread::cell {

using framework::settings::JsonReader;
using framework::settings::readCurveKey;

namespace {

constexpr std::int64_t MostMillis = 3'600'000;
constexpr double MostSeconds = 86'400;
constexpr double MostFactor = 1000;
constexpr double MostCores = 1024;
constexpr double MostMbps = 1e6;

Address readAddress(JsonReader &Reader, std::string_view Field, bool Required) {
  const std::string Text = Required ? Reader.requiredString(Field)
                                    : Reader.optionalString(Field, "");
  const auto Parsed = framework::http::parseAddress(Text);
  if (!Text.empty() && !Parsed)
    Reader.fault(Field, "must be a numeric ip:port");
  return Parsed.value_or(Address());
}

void readMillis(JsonReader &Reader, std::string_view Field, Duration &Into) {
  const auto Default =
      std::chrono::duration_cast<std::chrono::milliseconds>(Into).count();
  Into = std::chrono::milliseconds(
      Reader.optionalInt(Field, Default, {0, MostMillis}));
}

void readSeconds(JsonReader &Reader, std::string_view Field, Duration &Into) {
  const double Default = std::chrono::duration<double>(Into).count();
  Into = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      Reader.optionalNumber(Field, Default, 0, MostSeconds)));
}

void readBounds(JsonReader Reader, CellBounds &Into) {
  readMillis(Reader, "longestHoldMs", Into.LongestHold_);
  readSeconds(Reader, "statusKeptSeconds", Into.StatusKept_);
  readMillis(Reader, "gangTimeoutMs", Into.GangTimeout_);
  readMillis(Reader, "machineLeaseMs", Into.MachineLease_);
  Into.FarFactor_ =
      Reader.optionalNumber("farFactor", Into.FarFactor_, 1, MostFactor);
  readSeconds(Reader, "moveSeconds", Into.Move_);
  readSeconds(Reader, "upkeepSeconds", Into.Upkeep_);
  readSeconds(Reader, "graceSeconds", Into.Grace_);
  Reader.finish();
}

void readLog(JsonReader Reader, CellSettings &Into) {
  const std::string Format = Reader.optionalString("format", "kv");
  if (Format != "kv" && Format != "json")
    Reader.fault("format", "must be kv or json");
  if (Format == "json")
    Into.LogFormat_ = framework::log::Format::Json;
  const std::string Level = Reader.optionalString("level", "info");
  if (absl::Status Parsed = framework::log::parseLevel(Level, Into.LogLevel_);
      !Parsed.ok())
    Reader.fault("level", std::string_view(Parsed.message().data(),
                                           Parsed.message().size()));
  Reader.finish();
}

CellSettings readFields(JsonReader &Reader) {
  CellSettings Result;
  Reader.ignore("kind");
  Result.Name_ = fleet::EntryName(Reader.requiredString("name"));
  Result.Zone_ = ZoneName(Reader.requiredString("zone"));
  JsonReader Listen = Reader.child("listen", true);
  Result.Callers_ = readAddress(Listen, "callers", true);
  Result.Readiness_ = readAddress(Listen, "readiness", true);
  Result.Peers_ = readAddress(Listen, "peers", true);
  if (const Address Told = readAddress(Listen, "peersAdvertised", false);
      Told != Address())
    Result.PeersAdvertised_ = Told;
  Result.Metrics_ = readAddress(Listen, "metrics", true);
  Listen.finish();
  JsonReader Store = Reader.child("store", true);
  Result.Store_ = readAddress(Store, "address", true);
  Result.StorePrefix_ = Store.optionalString("prefix", "laburnumspread/");
  if (!Result.StorePrefix_.ends_with('/'))
    Store.fault("prefix", "must end with '/'");
  Store.finish();
  JsonReader Services = Reader.child("services", false);
  Result.Machines_ = readAddress(Services, "machines", false);
  Result.Advisor_ = readAddress(Services, "advisor", false);
  Services.finish();
  JsonReader Capacity = Reader.child("capacity", false);
  Result.Cores_ = Capacity.optionalNumber("cores", Result.Cores_, 0, MostCores);
  Result.LinkMbps_ =
      Capacity.optionalNumber("linkMbps", Result.LinkMbps_, 0, MostMbps);
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

absl::StatusOr<CellSettings> readCellSettings(std::string_view Text,
                                              const std::string &File) {
  return framework::settings::readSettingsText<CellSettings>(Text, File,
                                                             readFields);
}

absl::StatusOr<CellSettings> loadCellSettings(const std::string &File) {
  const auto Text = framework::settings::readSettingsFile(File);
  if (!Text.ok())
    return Text.status();
  return readCellSettings(*Text, File);
}

std::string needRestart(const CellSettings &InForce,
                        const CellSettings &Fresh) {
  std::string Names;
  const auto Note = [&](bool Differs, std::string_view Name) {
    if (Differs)
      Names += (Names.empty() ? "" : ",") + std::string(Name);
  };
  Note(InForce.Name_ != Fresh.Name_, "name");
  Note(InForce.Zone_ != Fresh.Zone_, "zone");
  Note(InForce.Callers_ != Fresh.Callers_ ||
           InForce.Readiness_ != Fresh.Readiness_ ||
           InForce.Peers_ != Fresh.Peers_ ||
           InForce.PeersAdvertised_ != Fresh.PeersAdvertised_ ||
           InForce.Metrics_ != Fresh.Metrics_,
       "listen");
  Note(InForce.Store_ != Fresh.Store_ ||
           InForce.StorePrefix_ != Fresh.StorePrefix_,
       "store");
  Note(InForce.Machines_ != Fresh.Machines_ ||
           InForce.Advisor_ != Fresh.Advisor_,
       "services");
  Note(InForce.PeerKeys_.Public_ != Fresh.PeerKeys_.Public_ ||
           InForce.PeerKeys_.Secret_ != Fresh.PeerKeys_.Secret_,
       "peerKeys");
  Note(InForce.Cores_ != Fresh.Cores_ || InForce.LinkMbps_ != Fresh.LinkMbps_,
       "capacity");
  Note(InForce.LogFormat_ != Fresh.LogFormat_, "log.format");
  return Names;
}

} // namespace laburnumspread::cell
