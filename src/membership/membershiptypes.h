#pragma once

#include "fleet/fleettypes.h"

#include <vector>

namespace laburnumspread::membership {

using fleet::EntryName;
using fleet::Incarnation;
using fleet::ZoneName;
using framework::clock::TimePoint;

/// Number of a view. Each change of the membership increases it by one.
using ViewNumber = framework::ids::StrongNumber<struct ViewNumberTag>;

/// Identifies one run of one entry. A restarted entry is a new member.
struct MemberId {
  EntryName Name_;
  Incarnation Incarnation_;
  auto operator<=>(const MemberId &) const = default;
};

/// An entry in a view.
struct Member {
  MemberId Id_;
  fleet::VmName Vm_;
  ZoneName Zone_;
  std::string PeerAddress_;
  std::string HttpAddress_;
  /// A leaving member owns nothing, but still hands over what it owned.
  bool Leaving_ = false;
  bool operator==(const Member &) const = default;
};

/// A member that can own units and records.
struct Owner {
  MemberId Id_;
  ZoneName Zone_;
  bool operator==(const Owner &) const = default;
};

/// The owners of an earlier view whose transfers are not all complete.
struct PastView {
  ViewNumber Number_;
  std::vector<Owner> Owners_;
  bool operator==(const PastView &) const = default;
};

/// A removed member. What it held may be reused once the last task lease that
/// it could have granted has expired.
struct DepartedMember {
  MemberId Id_;
  TimePoint ReusableAfter_{};
  bool operator==(const DepartedMember &) const = default;
};

/// The membership that the entries have agreed on.
struct View {
  ViewNumber Number_;
  /// All transfers of ownership up to this view are complete.
  ViewNumber SettledThrough_;
  /// Last view that added a member.
  ViewNumber LastJoin_;
  std::vector<Member> Members_;
  /// Views from SettledThrough_ to the one before this, oldest first.
  std::vector<PastView> Past_;
  std::vector<DepartedMember> DepartedMembers_;

  /// Returns null if \p Id is not a member.
  const Member *find(const MemberId &Id) const;
  /// All members that are not leaving.
  std::vector<Owner> owners() const;
  bool settled() const { return SettledThrough_ == Number_; }
  bool operator==(const View &) const = default;
};

} // namespace laburnumspread::membership

template <> struct std::hash<laburnumspread::membership::MemberId> {
  std::size_t operator()(const laburnumspread::membership::MemberId &Id) const {
    return std::hash<std::string>()(Id.Name_.str()) ^
           (Id.Incarnation_.value() * 0x9e3779b97f4a7c15ULL);
  }
};
