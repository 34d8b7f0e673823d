#pragma once

#include "framework/clock/clock.h"

#include <map>
#include <string>

namespace laburnumspread::cell {

/// Who should lead a cell: one holder schedules all of it, so an entry with
/// more processor time and a wider link does it sooner and for more workers. A
/// weaker one leads only when no stronger one has come forward.
class Candidacy {
public:
  /// Wait of an entry that is far weaker than the strongest: some times what a
  /// campaign takes, a fraction of the lease that ran out before.
  static constexpr framework::clock::Duration MaxCampaignDelay =
      std::chrono::milliseconds(250);
  /// Least wait of a weaker entry: a campaign takes three calls to the store.
  static constexpr framework::clock::Duration MinCampaignDelay =
      std::chrono::milliseconds(40);
  /// Weights within this part of each other count as equal.
  static constexpr double EqualWeightTolerance = 0.1;

  /// \p Cores: processor time of the entry, in cores; \p LinkMbps: its link.
  static double weightOf(double Cores, double LinkMbps);

  explicit Candidacy(double Weight) : Weight_(Weight) {}

  /// An entry's own word of its weight.
  void recordWeight(const std::string &Entry, double Weight) {
    Others_[Entry] = Weight;
  }

  /// How long to wait before a campaign for a cell without holder.
  framework::clock::Duration campaignDelay() const;

  double weight() const { return Weight_; }

private:
  double Weight_;
  std::map<std::string, double> Others_;
};

} // namespace laburnumspread::cell
