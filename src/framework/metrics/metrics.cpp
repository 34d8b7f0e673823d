#include "framework/metrics/metrics.h"

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace laburnumspread::framework::metrics {

namespace acc = boost::accumulators;

namespace {

constexpr double HighQuantile = 0.99;

/// Metric family: the name without its labels.
std::string_view familyOf(std::string_view Name) {
  return Name.substr(0, Name.find('{'));
}

/// Appends a label to a name that may already have labels.
std::string withLabel(const std::string &Name, const std::string &Label) {
  if (Name.ends_with('}'))
    return Name.substr(0, Name.size() - 1) + "," + Label + "}";
  return Name + "{" + Label + "}";
}

/// Inserts a suffix between a name and its labels.
std::string withSuffix(const std::string &Name, std::string_view Suffix) {
  const std::string_view Family = familyOf(Name);
  return std::string(Family) + std::string(Suffix) + Name.substr(Family.size());
}

template <typename MetricMap, typename Writer>
void writeFamilies(std::ostringstream &Out, const MetricMap &Metrics,
                   std::string_view Type, Writer &&Write) {
  std::string_view LastFamily;
  for (const auto &[Name, Value] : Metrics) {
    if (familyOf(Name) != LastFamily) {
      LastFamily = familyOf(Name);
      Out << "# TYPE " << LastFamily << ' ' << Type << '\n';
    }
    Write(Name, Value);
  }
}

template <typename MetricMap>
auto &findOrAdd(MetricMap &Metrics, std::string_view Name) {
  const auto Found = Metrics.find(Name);
  if (Found != Metrics.end())
    return Found->second;
  return Metrics.try_emplace(std::string(Name)).first->second;
}

} // namespace

struct Summary::Accumulators {
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                          acc::tag::p_square_quantile>>
      Median_{acc::quantile_probability = 0.5};
  acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>
      Percentile99_{acc::quantile_probability = HighQuantile};
};

Summary::Summary() : Accumulators_(std::make_unique<Accumulators>()) {}
Summary::~Summary() = default;
Summary::Summary(Summary &&) noexcept = default;

void Summary::record(double Value) {
  Accumulators_->Median_(Value);
  Accumulators_->Percentile99_(Value);
}

std::uint64_t Summary::count() const {
  return acc::count(Accumulators_->Median_);
}
double Summary::sum() const { return acc::sum(Accumulators_->Median_); }
double Summary::median() const {
  return acc::p_square_quantile(Accumulators_->Median_);
}
double Summary::percentile99() const {
  return acc::p_square_quantile(Accumulators_->Percentile99_);
}

void Histogram::record(double Seconds) {
  for (std::size_t I = 0; I < Bounds.size(); ++I)
    Buckets_[I] += Seconds <= Bounds[I];
  ++Count_;
  Sum_ += Seconds;
}

Counter &Registry::counter(std::string_view Name) {
  return findOrAdd(Counters_, Name);
}
Gauge &Registry::gauge(std::string_view Name) {
  return findOrAdd(Gauges_, Name);
}
Summary &Registry::summary(std::string_view Name) {
  return findOrAdd(Summaries_, Name);
}

Histogram &Registry::histogram(std::string_view Name) {
  return findOrAdd(Histograms_, Name);
}

std::string Registry::exposition() const {
  std::ostringstream Out;
  writeFamilies(Out, Counters_, "counter",
                [&](const std::string &Name, const Counter &Value) {
                  Out << Name << ' ' << Value.value() << '\n';
                });
  writeFamilies(Out, Gauges_, "gauge",
                [&](const std::string &Name, const Gauge &Value) {
                  Out << Name << ' ' << Value.value() << '\n';
                });
  writeFamilies(Out, Summaries_, "summary",
                [&](const std::string &Name, const Summary &Value) {
                  if (Value.count() > 0)
                    Out << withLabel(Name, "quantile=\"0.5\"") << ' '
                        << Value.median() << '\n'
                        << withLabel(Name, "quantile=\"0.99\"") << ' '
                        << Value.percentile99() << '\n';
                  Out << withSuffix(Name, "_sum") << ' ' << Value.sum() << '\n'
                      << withSuffix(Name, "_count") << ' ' << Value.count()
                      << '\n';
                });
  writeFamilies(Out, Histograms_, "histogram",
                [&](const std::string &Name, const Histogram &Value) {
                  for (std::size_t I = 0; I < Histogram::Bounds.size(); ++I)
                    Out << Name << "_bucket{le=\"" << Histogram::Bounds[I]
                        << "\"} " << Value.cumulativeCount(I) << '\n';
                  Out << Name << "_bucket{le=\"+Inf\"} " << Value.count()
                      << '\n'
                      << Name << "_sum " << Value.sum() << '\n'
                      << Name << "_count " << Value.count() << '\n';
                });
  return Out.str();
}

} // namespace laburnumspread::framework::metrics
