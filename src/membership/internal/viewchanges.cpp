#include "membership/viewchanges.h"

#include "framework/settings/jsonreader.h"

#include <algorithm>

#include <boost/json.hpp>

namespace laburnumspread::membership {

namespace json = boost::json;
using framework::settings::FieldErrors;
using framework::settings::JsonReader;

namespace {

View nextView(const View &Current) {
  View Next = Current;
  Next.Past_.push_back({Current.Number_, Current.owners()});
  Next.Number_ = Current.Number_.next();
  return Next;
}

auto findMember(View &In, const MemberId &Id) {
  return std::find_if(In.Members_.begin(), In.Members_.end(),
                      [&](const Member &Item) { return Item.Id_ == Id; });
}

bool transferComplete(const View &Current, const MemberProgress &Progress) {
  return Progress.View_ == Current.Number_ && Progress.HeldUnits_ == 0 &&
         Progress.BucketsToCopy_ == 0;
}

json::object toJson(const MemberId &Id) {
  return {{"name", Id.Name_.str()}, {"incarnation", Id.Incarnation_.value()}};
}

json::object toJson(const Member &Item) {
  json::object Result = toJson(Item.Id_);
  Result["vm"] = Item.Vm_.str();
  Result["zone"] = Item.Zone_.str();
  Result["peer"] = Item.PeerAddress_;
  Result["http"] = Item.HttpAddress_;
  Result["leaving"] = Item.Leaving_;
  return Result;
}

json::object toJson(const PastView &Past) {
  json::array Owners;
  for (const Owner &Item : Past.Owners_) {
    json::object Row = toJson(Item.Id_);
    Row["zone"] = Item.Zone_.str();
    Owners.push_back(std::move(Row));
  }
  return {{"number", Past.Number_.value()}, {"owners", std::move(Owners)}};
}

MemberId readId(JsonReader &Reader) {
  MemberId Id;
  Id.Name_ = EntryName(Reader.requiredString("name"));
  Id.Incarnation_ = Incarnation(Reader.requiredInt("incarnation", {}));
  return Id;
}

Member readMember(JsonReader &Reader) {
  Member Item;
  Item.Id_ = readId(Reader);
  Item.Vm_ = fleet::VmName(Reader.requiredString("vm"));
  Item.Zone_ = ZoneName(Reader.requiredString("zone"));
  Item.PeerAddress_ = Reader.requiredString("peer");
  Item.HttpAddress_ = Reader.optionalString("http", "");
  Item.Leaving_ = Reader.optionalBool("leaving", false);
  return Item;
}

PastView readPast(JsonReader &Reader) {
  PastView Past;
  Past.Number_ = ViewNumber(Reader.requiredInt("number", {}));
  Reader.eachObject("owners", [&](JsonReader &Row) {
    Owner Item;
    Item.Id_ = readId(Row);
    Item.Zone_ = ZoneName(Row.requiredString("zone"));
    Past.Owners_.push_back(std::move(Item));
  });
  return Past;
}

} // namespace

const Member *View::find(const MemberId &Id) const {
  for (const Member &Item : Members_)
    if (Item.Id_ == Id)
      return &Item;
  return nullptr;
}

std::vector<Owner> View::owners() const {
  std::vector<Owner> Result;
  for (const Member &Item : Members_)
    if (!Item.Leaving_)
      Result.push_back({Item.Id_, Item.Zone_});
  return Result;
}

absl::StatusOr<View> withJoined(const View &Current, const Member &NewMember) {
  for (const Member &Item : Current.Members_)
    if (Item.Id_.Name_ == NewMember.Id_.Name_)
      return absl::AlreadyExistsError(
          "a run of this entry is already a member");
  if (Current.SettledThrough_ < Current.LastJoin_)
    return absl::FailedPreconditionError("an earlier join is not settled yet");
  View Next = nextView(Current);
  Next.Members_.push_back(NewMember);
  Next.LastJoin_ = Next.Number_;
  return Next;
}

absl::StatusOr<View> withLeaving(const View &Current, const MemberId &Id) {
  View Next = nextView(Current);
  const auto At = findMember(Next, Id);
  if (At == Next.Members_.end())
    return absl::NotFoundError("not a member");
  At->Leaving_ = true;
  return Next;
}

absl::StatusOr<View> withRemoved(const View &Current, const MemberId &Id,
                                 TimePoint ReusableAfter) {
  View Next = nextView(Current);
  const auto At = findMember(Next, Id);
  if (At == Next.Members_.end())
    return absl::NotFoundError("not a member");
  Next.Members_.erase(At);
  Next.DepartedMembers_.push_back({Id, ReusableAfter});
  return Next;
}

bool canSettle(const View &Current, std::span<const MemberProgress> Progress,
               TimePoint Now) {
  const bool LeasesEnded = std::all_of(
      Current.DepartedMembers_.begin(), Current.DepartedMembers_.end(),
      [&](const DepartedMember &Item) { return Item.ReusableAfter_ < Now; });
  return LeasesEnded &&
         std::all_of(Current.Members_.begin(), Current.Members_.end(),
                     [&](const Member &Item) {
                       return std::any_of(Progress.begin(), Progress.end(),
                                          [&](const MemberProgress &Row) {
                                            return Row.Id_ == Item.Id_ &&
                                                   transferComplete(Current,
                                                                    Row);
                                          });
                     });
}

View asSettled(const View &Current) {
  View Settled = Current;
  Settled.SettledThrough_ = Current.Number_;
  Settled.Past_.clear();
  Settled.DepartedMembers_.clear();
  return Settled;
}

std::string toText(const View &Value) {
  json::array Members, Past, Departed;
  for (const Member &Item : Value.Members_)
    Members.push_back(toJson(Item));
  for (const PastView &Item : Value.Past_)
    Past.push_back(toJson(Item));
  for (const DepartedMember &Item : Value.DepartedMembers_) {
    json::object Row = toJson(Item.Id_);
    Row["reusableAfterMicros"] =
        framework::clock::toMicros(Item.ReusableAfter_);
    Departed.push_back(std::move(Row));
  }
  return json::serialize(
      json::object{{"number", Value.Number_.value()},
                   {"settledThrough", Value.SettledThrough_.value()},
                   {"lastJoin", Value.LastJoin_.value()},
                   {"members", std::move(Members)},
                   {"past", std::move(Past)},
                   {"departed", std::move(Departed)}});
}

absl::StatusOr<View> parseView(std::string_view Text) {
  absl::StatusOr<json::value> Document = framework::settings::parseJson(Text);
  if (!Document.ok())
    return Document.status();
  FieldErrors Errors;
  JsonReader Reader(*Document, "view", Errors);
  View Result;
  Result.Number_ = ViewNumber(Reader.requiredInt("number", {}));
  Result.SettledThrough_ = ViewNumber(Reader.requiredInt("settledThrough", {}));
  Result.LastJoin_ = ViewNumber(Reader.requiredInt("lastJoin", {}));
  Reader.eachObject("members", [&](JsonReader &Row) {
    Result.Members_.push_back(readMember(Row));
  });
  Reader.eachObject(
      "past", [&](JsonReader &Row) { Result.Past_.push_back(readPast(Row)); });
  Reader.eachObject("departed", [&](JsonReader &Row) {
    DepartedMember Item;
    Item.Id_ = readId(Row);
    Item.ReusableAfter_ = framework::clock::fromMicros(
        Row.requiredInt("reusableAfterMicros", {}));
    Result.DepartedMembers_.push_back(std::move(Item));
  });
  if (!Errors.empty())
    return absl::InvalidArgumentError(framework::settings::describe(Errors));
  return Result;
}

} // namespace laburnumspread::membership
