#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace laburnumspread::framework::metrics {

/// Monotonic counter that starts at 0 when the process starts.
class Counter {
public:
  void add(std::uint64_t By = 1) { Value_ += By; }
  std::uint64_t value() const { return Value_; }

private:
  std::uint64_t Value_ = 0;
};

/// Value that can go up and down.
class Gauge {
public:
  void set(double Value) { Value_ = Value; }
  double value() const { return Value_; }

private:
  double Value_ = 0;
};

/// Distribution of a measured quantity: count, sum and streaming estimates of
/// the median and the 99th percentile (P-square algorithm of
/// Boost.Accumulators). Values have the unit of the metric's name.
class Summary {
public:
  Summary();
  ~Summary();
  Summary(Summary &&) noexcept;
  void record(double Value);
  std::uint64_t count() const;
  double sum() const;
  double median() const;
  double percentile99() const;

private:
  struct Accumulators;
  std::unique_ptr<Accumulators> Accumulators_;
};

/// Distribution of a duration over fixed cumulative buckets, as in the
/// Prometheus text format.
class Histogram {
public:
  /// Upper bounds of the buckets in seconds, from a network round trip to a
  /// caller's deadline.
  static constexpr std::array<double, 11> Bounds = {
      0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5};

  void record(double Seconds);
  std::uint64_t count() const { return Count_; }
  double sum() const { return Sum_; }
  /// Number of recorded values at or below Bounds[\p I].
  std::uint64_t cumulativeCount(std::size_t I) const { return Buckets_[I]; }

private:
  std::array<std::uint64_t, Bounds.size()> Buckets_{};
  std::uint64_t Count_ = 0;
  double Sum_ = 0;
};

/// All metrics of a process by name. Labels are part of the name, in the
/// Prometheus text format: `requests_total{outcome="ran"}`.
class Registry {
public:
  /// Each accessor returns the metric of that name and creates it if needed.
  Counter &counter(std::string_view Name);
  Gauge &gauge(std::string_view Name);
  Summary &summary(std::string_view Name);
  /// \p Name must not have labels.
  Histogram &histogram(std::string_view Name);

  /// All metrics in the Prometheus text format.
  std::string exposition() const;

private:
  std::map<std::string, Counter, std::less<>> Counters_;
  std::map<std::string, Gauge, std::less<>> Gauges_;
  std::map<std::string, Summary, std::less<>> Summaries_;
  std::map<std::string, Histogram, std::less<>> Histograms_;
};

} // namespace laburnumspread::framework::metrics
