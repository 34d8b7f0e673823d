#pragma once

#include "framework/clock/clock.h"
#include "membership/membershiptypes.h"

#include <map>
#include <string>

namespace laburnumspread::cell {

/// What an entry publishes about itself as a candidate for leadership.
struct Candidate {
  double Weight_ = 0;
  membership::MemberId Id_;
  /// Empty for an entry of an earlier release.
  std::string PeerAddress_;
};

/// Encodes the value of a candidate's key in the store. Earlier releases read
/// the weight, which comes first.
std::string encodeCandidate(const Candidate &From);
Candidate decodeCandidate(const fleet::EntryName &Name,
                          const std::string &Text);

/// Decides how soon an entry campaigns for a cell. The leader schedules the
/// whole cell, so an entry with more CPU time and network bandwidth does so
/// faster and for more workers. An entry of lower weight leads only if no
/// better one has campaigned.
class Candidacy {
public:
  /// Delay of an entry with far lower weight than the highest: several times
  /// the duration of a campaign, but only a fraction of the lease that expired
  /// before.
  static constexpr framework::clock::Duration MaxCampaignDelay =
      std::chrono::milliseconds(250);
  /// Minimum delay of an entry of lower weight; a campaign takes three calls to
  /// the store.
  static constexpr framework::clock::Duration MinCampaignDelay =
      std::chrono::milliseconds(40);
  /// Relative difference up to which weights count as equal.
  static constexpr double EqualWeightTolerance = 0.1;

  /// \p Cores is the CPU time available to the entry in cores, \p LinkMbps its
  /// network bandwidth in Mbit/s.
  static double weightOf(double Cores, double LinkMbps);

  explicit Candidacy(double Weight) : Weight_(Weight) {}

  /// Records the weight that an entry has published.
  void recordWeight(const std::string &Entry, double Weight) {
    Others_[Entry] = Weight;
  }

  /// Returns the delay before campaigning for a cell without a leader.
  framework::clock::Duration campaignDelay() const;

  double weight() const { return Weight_; }

private:
  double Weight_;
  std::map<std::string, double> Others_;
};

} // namespace laburnumspread::cell
