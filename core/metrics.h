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

/// A number that only grows.
struct counter {
  std::uint64_t Value = 0;

  void add(std::uint64_t Delta = 1) { Value += Delta; }
};

/// A number that moves both ways.
struct gauge {
  double Value = 0;

  void set(double To) { Value = To; }
};

/// The distribution of a span of time, from 10 microseconds to 100 seconds on
/// a logarithmic axis.
class latency_histogram {
public:
  latency_histogram();

  /// Counts one span.
  void observe(duration Span);

  /// The span below which the given share (0 to 1) of observations lies: the
  /// upper edge of its bin. Zero when nothing was observed.
  duration quantile(double Share) const;

  /// How many spans were counted.
  std::uint64_t count() const { return Count; }

  /// Appends the Prometheus text of this histogram, in seconds.
  void appendText(const std::string &Name, const std::string &Labels,
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

/// Label names with their values.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// The metrics of this process. References stay valid for the object's life,
/// so that hot paths look a metric up once.
class metrics {
public:
  counter &counterOf(const std::string &Name, const metric_labels &Labels = {});
  gauge &gaugeOf(const std::string &Name, const metric_labels &Labels = {});
  latency_histogram &histogramOf(const std::string &Name,
                                 const metric_labels &Labels = {});

  /// Everything in Prometheus's text format.
  std::string prometheusText() const;

private:
  template <typename Metric>
  using family = std::map<std::string, std::map<std::string, Metric>>;

  family<counter> Counters;
  family<gauge> Gauges;
  family<latency_histogram> Histograms;
};

} // namespace teasellock
