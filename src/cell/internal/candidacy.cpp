#include "cell/candidacy.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <vector>

namespace laburnumspread::cell {

namespace {

/// A leader of several hundred workers sends and receives a few Mbit/s; more
/// bandwidth than this makes no difference.
constexpr double SufficientLinkMbps = 50;

} // namespace

std::string encodeCandidate(const Candidate &From) {
  return std::to_string(From.Weight_) + ' ' +
         std::to_string(From.Id_.Incarnation_.value()) + ' ' +
         From.PeerAddress_;
}

Candidate decodeCandidate(const fleet::EntryName &Name,
                          const std::string &Text) {
  const std::vector<std::string> Parts = absl::StrSplit(Text, ' ');
  Candidate Result;
  Result.Id_.Name_ = Name;
  if (!absl::SimpleAtod(Parts.front(), &Result.Weight_))
    Result.Weight_ = 0;
  std::uint64_t Incarnation = 0;
  if (Parts.size() != 3 || !absl::SimpleAtoi(Parts[1], &Incarnation))
    return Result;
  Result.Id_.Incarnation_ = fleet::Incarnation(Incarnation);
  Result.PeerAddress_ = Parts[2];
  return Result;
}

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
