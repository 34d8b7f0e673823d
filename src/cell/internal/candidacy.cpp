#include "cell/candidacy.h"

#include <algorithm>

namespace laburnumspread::cell {

namespace {

/// A leader of several hundred workers sends and receives a few Mbit/s; more
/// bandwidth than this makes no difference.
constexpr double SufficientLinkMbps = 50;

} // namespace

double Candidacy::weightOf(double Cores, double LinkMbps) {
  return Cores * std::min(1.0, LinkMbps / SufficientLinkMbps);
}

framework::clock::Duration Candidacy::campaignDelay() const {
  double Strongest = Weight_;
  for (const auto &[Entry, Weight] : Others_)
    Strongest = std::max(Strongest, Weight);
  if (Strongest <= 0 || Weight_ >= (1 - EqualWeightTolerance) * Strongest)
    return framework::clock::Duration::zero();
  const double Deficit = 1 - Weight_ / Strongest;
  return MinCampaignDelay +
         std::chrono::duration_cast<framework::clock::Duration>(
             Deficit * (MaxCampaignDelay - MinCampaignDelay));
}

} // namespace laburnumspread::cell
