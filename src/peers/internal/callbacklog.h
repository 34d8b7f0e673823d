#pragma once

#include "peers/messages.h"

#include <list>
#include <optional>

#include <absl/container/flat_hash_map.h>

namespace laburnumspread::peers {

using framework::clock::Duration;

/// Calls of peers that have arrived and are not handled yet, in the order in
/// which they came.
///
/// Entries of a large fleet may send calls for longer than a process with
/// little processor time can handle them. Left in the socket they use up its
/// memory, some 50 KB each, and are handled seconds after their callers have
/// given up; the process then ends over its memory limit. So what waits is
/// bounded in age and bytes. A call that is dropped is like one that was lost
/// on its way: its sender sends it again for as long as its caller waits.
class CallBacklog {
public:
  /// A call of this age is dropped. Senders repeat what is not answered at half
  /// of it (CallRouter), so that a later attempt waits here too, or nobody
  /// waits for the answer.
  static constexpr Duration MaxAge = std::chrono::seconds(1);
  /// Most bytes that wait, as they were sent; the oldest calls are dropped.
  static constexpr std::size_t MaxBytes = 4 * 1024 * 1024;

  /// A call, with the number of bytes that were sent.
  struct Item {
    Sender From_;
    JobCall Call_;
    std::size_t Bytes_ = 0;
    TimePoint ArrivedAt_{};
  };

  /// Adds a call that arrived at \p Now. A later attempt of one that waits
  /// takes its place.
  void add(const Sender &From, JobCall Call, std::size_t Bytes, TimePoint Now);

  /// Removes the next call to handle and returns it; nullopt if there is none.
  std::optional<Item> takeNext(TimePoint Now);

  bool empty() const { return Waiting_.empty(); }
  std::size_t size() const { return Waiting_.size(); }
  std::size_t bytes() const { return Bytes_; }
  /// Returns for how long the oldest call has waited; zero if there is none.
  Duration oldestAge(TimePoint Now) const;

  /// Number of calls that were dropped as they were too old, because of the
  /// bytes that wait, and because a later attempt came.
  std::uint64_t expired() const { return Expired_; }
  std::uint64_t displaced() const { return Displaced_; }
  std::uint64_t superseded() const { return Superseded_; }

private:
  /// What identifies a call over its attempts.
  struct Key {
    MemberId Caller_;
    std::uint64_t Sequence_ = 0;

    bool operator==(const Key &) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash State, const Key &K) {
      return Hash::combine(std::move(State), K.Caller_.Name_.str(),
                           K.Caller_.Incarnation_.value(), K.Sequence_);
    }
  };

  static Key keyOf(const Sender &From, const JobCall &Call) {
    return {Call.ReplyTo_ ? Call.ReplyTo_->Id_ : From.Id_, Call.Sequence_};
  }
  Item removeOldest();

  std::list<Item> Waiting_;
  absl::flat_hash_map<Key, std::list<Item>::iterator> ByKey_;
  std::size_t Bytes_ = 0;
  std::uint64_t Expired_ = 0;
  std::uint64_t Displaced_ = 0;
  std::uint64_t Superseded_ = 0;
};

} // namespace laburnumspread::peers
