#pragma once

#include <array>
#include <cstddef>
#include <numeric>

namespace laburnumspread::framework::metrics {

/// Counts by the values of an enumeration, from 0 to \p Last.
template <typename Enum, Enum Last> class CountsBy {
public:
  void add(Enum Of, std::size_t Count = 1) { Counts_[indexOf(Of)] += Count; }
  std::size_t of(Enum Of) const { return Counts_[indexOf(Of)]; }
  std::size_t total() const {
    return std::accumulate(Counts_.begin(), Counts_.end(), std::size_t(0));
  }

  /// Calls \p Visit with each value and its count.
  template <typename Fn> void forEach(const Fn &Visit) const {
    for (std::size_t I = 0; I < Counts_.size(); ++I)
      Visit(static_cast<Enum>(I), Counts_[I]);
  }

private:
  static constexpr std::size_t indexOf(Enum Of) {
    return static_cast<std::size_t>(Of);
  }

  std::array<std::size_t, indexOf(Last) + 1> Counts_{};
};

} // namespace laburnumspread::framework::metrics
