#pragma once

#include "config/configtypes.h"
#include "config/shards.h"
#include "fleet/resourcejson.h"
#include "framework/clock/clock.h"
#include "store/kvstore.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace laburnumspread::config {

/// A stored value that has been read in order to change objects in it.
struct LoadedShard {
  store::KeyValue Stored_;
  boost::json::object Items_;
  /// Resource version for changed objects; larger than that of any object in
  /// the value.
  Revision NextResourceVersion_;
};

/// Decodes the value of \p Key; a missing one gives an empty shard. Returns
/// DataLoss if it cannot be decoded and ResourceExhausted if it is too large.
absl::StatusOr<LoadedShard> loadShard(const std::string &Key,
                                      const store::RangeResult &Read);
std::string serializeShard(const LoadedShard &Shard);

/// Whether \p Read holds the value \p Wanted under \p Key. Used after a write
/// whose answer was lost to find out whether it took effect.
bool containsWrite(const store::RangeResult &Read, const std::string &Key,
                   std::string_view Wanted);

/// Result of a successful write.
template <typename T> struct WriteResult {
  T Object_;
  /// Store revision from which on the change is visible.
  Revision Revision_;
  bool Changed_ = false;
};

/// Changes declared objects by compare-and-swap on the values that hold them.
///
/// A write whose answer was lost may have taken effect, or may do so later. The
/// value is then read back, and each further attempt compares the object with
/// what the earlier ones would have written, so that a change that took effect
/// is not reported as failed, or vice versa.
template <store::KeyValueStore Store> class ObjectWriter {
public:
  ObjectWriter(Store &Into, std::string Prefix)
      : Store_(Into), Prefix_(std::move(Prefix)) {}

  /// Maximum number of attempts of one write against concurrent writers, and of
  /// reads after a lost answer.
  static constexpr int MaxAttempts = 8;

  /// Writes the spec of an object, creating the object if it does not exist.
  /// Returns Aborted if \p IfMatch is given and is not the object's resource
  /// version. Nothing is written if the spec is unchanged.
  template <typename T>
  absl::StatusOr<WriteResult<T>>
  putSpec(const T &Wanted, std::optional<Revision> IfMatch, bool DryRun,
          framework::clock::TimePoint Deadline) {
    return change<T>(
        Wanted.Metadata_.Name_,
        [&](std::optional<T> &Object) -> absl::Status {
          if (absl::Status Match = checkMatch(Object, IfMatch); !Match.ok())
            return Match;
          if (Object && toJson(Object->Spec_) == toJson(Wanted.Spec_))
            return absl::OkStatus();
          const Generation Before =
              Object ? Object->Metadata_.Generation_ : Generation(0);
          if (!Object)
            Object.emplace();
          Object->Metadata_.Name_ = Wanted.Metadata_.Name_;
          Object->Metadata_.Generation_ = Before.next();
          Object->Spec_ = Wanted.Spec_;
          return absl::OkStatus();
        },
        DryRun, Deadline);
  }

  /// Deletes an object. Returns NotFound if it does not exist and Aborted if
  /// \p IfMatch is given and is not its resource version.
  template <typename T>
  absl::StatusOr<WriteResult<T>>
  remove(const std::string &Name, std::optional<Revision> IfMatch, bool DryRun,
         framework::clock::TimePoint Deadline) {
    return change<T>(
        Name,
        [&](std::optional<T> &Object) -> absl::Status {
          if (!Object)
            return absl::NotFoundError("no such object");
          if (absl::Status Match = checkMatch(Object, IfMatch); !Match.ok())
            return Match;
          Object.reset();
          return absl::OkStatus();
        },
        DryRun, Deadline);
  }

  /// Applies \p Edit to the object's current state in the store. \p Edit can
  /// return an error to reject a change that was planned on older state.
  /// \p Guards are additional conditions of the write, so that a planner that
  /// was paused and lost its lease changes nothing.
  ///
  /// Returns the error of \p Edit or loadShard(), Unavailable if nothing was
  /// written, or Unknown if the outcome of the write cannot be determined.
  template <typename T>
  absl::StatusOr<WriteResult<T>>
  change(const std::string &Name,
         const std::function<absl::Status(std::optional<T> &)> &Edit,
         bool DryRun, framework::clock::TimePoint Deadline,
         const std::vector<store::Compare> &Guards = {}) {
    const std::string Key = shardKey(Prefix_, fleet::KindOf<T>::Value, Name);
    std::vector<Unanswered<T>> Earlier;
    for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
      absl::StatusOr<store::RangeResult> Read =
          Store_.range(Key, Revision(0), Deadline);
      if (!Read.ok())
        return failure(absl::UnavailableError(Read.status().message()),
                       !Earlier.empty());
      absl::StatusOr<LoadedShard> Shard = loadShard(Key, *Read);
      if (!Shard.ok())
        return failure(Shard.status(), !Earlier.empty());
      std::optional<T> Object = readFrom<T>(*Shard, Name);
      const boost::json::value Before = stored(Object);
      const auto Own =
          std::find_if(Earlier.begin(), Earlier.end(), [&](const auto &Item) {
            return Item.Written_ == Before;
          });
      if (Own != Earlier.end())
        return WriteResult<T>{Own->Result_, Shard->Stored_.ModRevision_, true};
      std::optional<T> Previous = Object;
      if (absl::Status Edited = Edit(Object); !Edited.ok())
        return failure(Edited, !Earlier.empty());
      if (stored(Object) == Before)
        return WriteResult<T>{Object.value_or(T()), Shard->Stored_.ModRevision_,
                              false};
      if (Object)
        Object->Metadata_.ResourceVersion_ = Shard->NextResourceVersion_;
      if (DryRun)
        return WriteResult<T>{Object ? *Object : *Previous,
                              Shard->Stored_.ModRevision_, true};
      writeInto(*Shard, Name, Object);
      const T Result = Object ? *Object : *Previous;
      bool Answered = true;
      absl::StatusOr<std::optional<Revision>> Done =
          commit(Key, *Shard, Deadline, Guards, Answered);
      if (!Done.ok())
        return Done.status();
      if (*Done)
        return WriteResult<T>{Result, **Done, true};
      if (!Answered)
        Earlier.push_back({stored(Object), Result});
    }
    return failure(
        absl::UnavailableError("not written: too many concurrent writers"),
        !Earlier.empty());
  }

private:
  using Generation = fleet::Generation;

  /// An attempt of a change that the store has not answered. It may have been
  /// carried out, or may be until the stored value changes.
  template <typename T> struct Unanswered {
    /// What the object is if the attempt was carried out.
    boost::json::value Written_;
    T Result_;
  };

  /// Returns the error of a change, or Unknown if an unanswered attempt of it
  /// may have been carried out.
  static absl::Status failure(const absl::Status &Error, bool Unanswered) {
    if (!Unanswered)
      return Error;
    return absl::UnknownError("the store did not answer; the change may have "
                              "taken effect: " +
                              std::string(Error.message()));
  }

  template <typename T>
  static absl::Status checkMatch(const std::optional<T> &Object,
                                 std::optional<Revision> IfMatch) {
    if (!IfMatch)
      return absl::OkStatus();
    const Revision Now =
        Object ? Object->Metadata_.ResourceVersion_ : Revision(0);
    if (Now == *IfMatch)
      return absl::OkStatus();
    return absl::AbortedError("resource version is " +
                              std::to_string(Now.value()));
  }

  template <typename T>
  static std::optional<T> readFrom(const LoadedShard &Shard,
                                   const std::string &Name) {
    const boost::json::value *Item = Shard.Items_.if_contains(Name);
    if (!Item)
      return std::nullopt;
    framework::settings::FieldErrors Ignored;
    return fleet::readStored<T>(Name, *Item, Ignored);
  }

  template <typename T>
  static boost::json::value stored(const std::optional<T> &Object) {
    if (!Object)
      return nullptr;
    return fleet::toStored(*Object);
  }

  template <typename T>
  static void writeInto(LoadedShard &Shard, const std::string &Name,
                        const std::optional<T> &Object) {
    if (Object)
      Shard.Items_[Name] = fleet::toStored(*Object);
    else
      Shard.Items_.erase(Name);
  }

  /// Returns the revision of the write, or nullopt if a concurrent write came
  /// first or the store did not answer; \p Answered tells which.
  absl::StatusOr<std::optional<Revision>>
  commit(const std::string &Key, const LoadedShard &Shard,
         framework::clock::TimePoint Deadline,
         const std::vector<store::Compare> &Guards, bool &Answered) {
    const std::string Text = serializeShard(Shard);
    store::Transaction Txn;
    Txn.Compares_ = Guards;
    Txn.Compares_.push_back({Key, Shard.Stored_.ModRevision_});
    Txn.Puts_.push_back({Key, Text});
    absl::StatusOr<store::TransactionResult> Result =
        Store_.commit(Txn, Deadline);
    if (Result.ok() && Result->Succeeded_)
      return std::optional<Revision>(Result->StoreRevision_);
    if (Result.ok())
      return std::optional<Revision>();
    Answered = false;
    return readBack(Key, Text, Deadline, Result.status());
  }

  absl::StatusOr<std::optional<Revision>>
  readBack(const std::string &Key, const std::string &Text,
           framework::clock::TimePoint Deadline,
           const absl::Status &CommitError) {
    for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
      absl::StatusOr<store::RangeResult> Read =
          Store_.range(Key, Revision(0), Deadline);
      if (!Read.ok())
        continue;
      if (containsWrite(*Read, Key, Text))
        return std::optional<Revision>(Read->StoreRevision_);
      // The write never arrived, or another one has replaced it. Retrying is
      // correct in both cases, since the edit starts from the current state.
      return std::optional<Revision>();
    }
    return absl::UnknownError("the store did not answer and cannot be read; "
                              "the change may have taken effect: " +
                              std::string(CommitError.message()));
  }

  Store &Store_;
  std::string Prefix_;
};

} // namespace laburnumspread::config
