#pragma once

#include "core/time.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace teasellock {

/// A counter: a number that only increases.
struct counter {
  std::uint64_t Value = 0;

  void add(std::uint64_t Delta = 1) { Value += Delta; }
};

/// A gauge: a number that may increase and decrease.
struct gauge {
  double Value = 0;

  void set(double NewValue) { Value = NewValue; }
};

/// A histogram of latencies from 10 microseconds to 100 seconds with bins on a
/// logarithmic axis.
class latency_histogram {
public:
  latency_histogram();

  /// Adds one observation.
  void observe(duration Latency);

  /// Estimates a quantile (0 to 1) of the observations as the upper edge of
  /// its bin. Zero when nothing was observed.
  duration quantile(double Quantile) const;

  /// The number of observations.
  std::uint64_t count() const { return Count; }

  /// Appends this histogram in Prometheus text format, in seconds.
  void appendPrometheusText(const std::string &Name, const std::string &Labels,
                            std::string &Text) const;

private:
  using axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using histogram = decltype(boost::histogram::make_histogram(axis(1, 1, 2)));

  histogram Bins;
  std::uint64_t Count = 0;
  double SumSeconds = 0;
};

/// Pairs of label name and value.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// The metrics registry of this process. Each lookup creates the metric if it
/// does not exist. References stay valid as long as the registry, so that hot
/// paths look a metric up once.
class metrics {
public:
  counter &counterOf(const std::string &Name, const metric_labels &Labels = {});
  gauge &gaugeOf(const std::string &Name, const metric_labels &Labels = {});
  latency_histogram &histogramOf(const std::string &Name,
                                 const metric_labels &Labels = {});

  /// All metrics in Prometheus text format.
  std::string prometheusText() const;

private:
  template <typename Metric>
  using family = std::map<std::string, std::map<std::string, Metric>>;

  family<counter> Counters;
  family<gauge> Gauges;
  family<latency_histogram> Histograms;
};

} // namespace teasellock
