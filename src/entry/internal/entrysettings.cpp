#include "entry/entrysettings.h"

#include "framework/settings/settingsfile.h"

namespace laburnumspread::entry {

using framework::http::Address;
using framework::settings::JsonReader;
using framework::settings::readCurveKey;

namespace {

constexpr std::size_t Sha256HexLength = 64;
constexpr std::int64_t MaxConnections = 100'000;
constexpr std::int64_t MaxBodyBytes = 1LL << 32;
constexpr std::int64_t MaxMillis = 3'600'000;
constexpr double MaxWeight = 1000;

Address readAddress(JsonReader &Reader, std::string_view Field) {
  const std::string Text = Reader.requiredString(Field);
  const auto Parsed = framework::http::parseAddress(Text);
  if (!Text.empty() && !Parsed)
    Reader.addError(Field, "must be a numeric ip:port");
  return Parsed.value_or(Address());
}

void readStore(JsonReader Reader, EntrySettings &Into) {
  for (const std::string &Text : Reader.stringList("endpoints")) {
    const auto Parsed = framework::http::parseAddress(Text);
    if (Parsed)
      Into.StoreEndpoints_.push_back(*Parsed);
    else
      Reader.addError("endpoints", "must hold numeric ip:port addresses");
  }
  if (Into.StoreEndpoints_.empty())
    Reader.addError("endpoints", "needs at least one address");
  Into.StorePrefix_ = Reader.optionalString("prefix", "/laburnumspread/");
  if (!Into.StorePrefix_.ends_with('/'))
    Reader.addError("prefix", "must end with '/'");
  Reader.finish();
}

void readLimits(JsonReader Reader, EntrySettings &Into) {
  auto &Limits = Into.HttpLimits_;
  Limits.HeaderBytes_ = Reader.optionalInt(
      "headerBytes", static_cast<std::int64_t>(Limits.HeaderBytes_),
      {1024, 65536});
  Limits.BodyBytes_ = Reader.optionalInt(
      "bodyBytes", static_cast<std::int64_t>(Limits.BodyBytes_),
      {1024, MaxBodyBytes});
  Limits.Connections_ = Reader.optionalInt(
      "connections", static_cast<std::int64_t>(Limits.Connections_),
      {1, MaxConnections});
  Limits.IoTimeout_ = std::chrono::milliseconds(
      Reader.optionalInt("ioTimeoutMs", 10'000, {100, MaxMillis}));
  Limits.IdleTimeout_ = std::chrono::milliseconds(
      Reader.optionalInt("idleTimeoutMs", 300'000, {100, MaxMillis}));
  Into.AnswerBytes_ = Reader.optionalInt(
      "answerBytes", static_cast<std::int64_t>(Into.AnswerBytes_),
      {1024, MaxBodyBytes});
  Reader.finish();
}

void readLog(JsonReader Reader, EntrySettings &Into) {
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

void readOperators(JsonReader &Reader, EntrySettings &Into) {
  Reader.eachObject("operatorKeys", [&](JsonReader &Item) {
    OperatorKey Key;
    Key.Name_ = Item.requiredString("name");
    Key.Sha256_ = Item.requiredString("sha256");
    if (!Key.Sha256_.empty() && Key.Sha256_.size() != Sha256HexLength)
      Item.addError("sha256", "must be 64 hexadecimal digits");
    Into.OperatorKeys_.push_back(std::move(Key));
  });
}

EntrySettings readFields(JsonReader &Reader) {
  EntrySettings Result;
  Result.Name_ = fleet::EntryName(Reader.requiredString("name"));
  Result.Vm_ = fleet::VmName(Reader.requiredString("vm"));
  Result.Zone_ = fleet::ZoneName(Reader.requiredString("zone"));
  JsonReader Listen = Reader.child("listen", true);
  Result.HttpListen_ = readAddress(Listen, "http");
  Result.PeerListen_ = readAddress(Listen, "peer");
  Listen.finish();
  for (const std::string &Seed : Reader.stringList("seeds")) {
    if (!framework::http::parseAddress(Seed))
      Reader.addError("seeds", "must hold numeric ip:port addresses");
    Result.Seeds_.push_back(Seed);
  }
  readStore(Reader.child("store", true), Result);
  JsonReader Platform = Reader.child("platform", true);
  Result.Platform_ = readAddress(Platform, "address");
  Platform.finish();
  JsonReader Keys = Reader.child("peerKeys", true);
  Result.PeerKeys_.Public_ = readCurveKey(Keys, "public");
  Result.PeerKeys_.Secret_ = readCurveKey(Keys, "secret");
  Keys.finish();
  readOperators(Reader, Result);
  readLimits(Reader.child("limits", false), Result);
  readLog(Reader.child("log", false), Result);
  JsonReader Planner = Reader.child("planner", false);
  Result.Planner_ = Planner.optionalBool("enabled", true);
  Result.WeightCloseness_ =
      Planner.optionalNumber("weightCloseness", 1, 0, MaxWeight);
  Result.WeightMoves_ = Planner.optionalNumber("weightMoves", 1, 0, MaxWeight);
  Result.WeightBuffer_ =
      Planner.optionalNumber("weightBuffer", 1, 0, MaxWeight);
  Planner.finish();
  JsonReader Test = Reader.child("test", false);
  Result.InjectedPeerDelayMs_ =
      Test.optionalInt("peerDelayMs", 0, {0, MaxMillis});
  Test.finish();
  Reader.finish();
  return Result;
}

} // namespace

absl::StatusOr<EntrySettings>
readSettings(std::string_view Text, const std::string &File,
             const framework::settings::FieldOverrides &Overrides) {
  return framework::settings::readSettingsText<EntrySettings>(
      Text, File, Overrides, readFields);
}

absl::StatusOr<EntrySettings>
loadSettings(const std::string &File,
             const framework::settings::FieldOverrides &Overrides) {
  const auto Text = framework::settings::readSettingsFile(File);
  if (!Text.ok())
    return Text.status();
  return readSettings(*Text, File, Overrides);
}

} // namespace laburnumspread::entry
