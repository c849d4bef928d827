#include "core/metrics.h"

#include <algorithm>

namespace teasellock {

namespace {

constexpr double MinSeconds = 10e-6;
constexpr double MaxSeconds = 100;
constexpr unsigned BinCount = 140;
constexpr unsigned BinsPerExportedBucket = 10;

std::string formatLabels(const metric_labels &Labels) {
  std::string Text;
  for (const auto &[Name, Value] : Labels) {
    if (!Text.empty())
      Text += ',';
    Text += Name + "=\"";
    for (char Char : Value) {
      if (Char == '"' || Char == '\\')
        Text += '\\';
      Text += Char == '\n' ? ' ' : Char;
    }
    Text += '"';
  }
  return Text;
}

void appendSample(std::string &Text, const std::string &Name,
                  const std::string &Labels, const std::string &Value) {
  Text += Name;
  if (!Labels.empty())
    Text += "{" + Labels + "}";
  Text += " " + Value + "\n";
}

} // namespace

latency_histogram::latency_histogram()
    : Bins(boost::histogram::make_histogram(
          axis(BinCount, MinSeconds, MaxSeconds))) {}

void latency_histogram::observe(duration Latency) {
  double Seconds = std::chrono::duration<double>(Latency).count();
  Bins(std::max(Seconds, MinSeconds));
  SumSeconds += Seconds;
  ++Count;
}

duration latency_histogram::quantile(double Quantile) const {
  if (Count == 0)
    return duration::zero();
  double TargetCount = Quantile * static_cast<double>(Count);
  double CumulativeCount = 0;
  const auto &Axis = Bins.axis();
  for (int Bin = 0; Bin < Axis.size(); ++Bin) {
    CumulativeCount += Bins.at(Bin);
    if (CumulativeCount >= TargetCount)
      return std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(Axis.value(Bin + 1)));
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(MaxSeconds));
}

void latency_histogram::appendPrometheusText(const std::string &Name,
                                             const std::string &Labels,
                                             std::string &Text) const {
  std::string Prefix = Labels.empty() ? "" : Labels + ",";
  const auto &Axis = Bins.axis();
  double CumulativeCount = 0;
  for (int Bin = 0; Bin < Axis.size(); ++Bin) {
    CumulativeCount += Bins.at(Bin);
    if ((Bin + 1) % BinsPerExportedBucket == 0)
      appendSample(Text, Name + "_bucket",
                   Prefix + "le=\"" + std::to_string(Axis.value(Bin + 1)) +
                       "\"",
                   std::to_string(static_cast<std::uint64_t>(CumulativeCount)));
  }
  appendSample(Text, Name + "_bucket", Prefix + "le=\"+Inf\"",
               std::to_string(Count));
  appendSample(Text, Name + "_sum", Labels, std::to_string(SumSeconds));
  appendSample(Text, Name + "_count", Labels, std::to_string(Count));
}

counter &metrics::counterOf(const std::string &Name,
                            const metric_labels &Labels) {
  return Counters[Name][formatLabels(Labels)];
}

gauge &metrics::gaugeOf(const std::string &Name, const metric_labels &Labels) {
  return Gauges[Name][formatLabels(Labels)];
}

latency_histogram &metrics::histogramOf(const std::string &Name,
                                        const metric_labels &Labels) {
  return Histograms[Name][formatLabels(Labels)];
}

std::string metrics::prometheusText() const {
  std::string Text;
  for (const auto &[Name, Family] : Counters) {
    Text += "# TYPE " + Name + " counter\n";
    for (const auto &[Labels, Metric] : Family)
      appendSample(Text, Name, Labels, std::to_string(Metric.Value));
  }
  for (const auto &[Name, Family] : Gauges) {
    Text += "# TYPE " + Name + " gauge\n";
    for (const auto &[Labels, Metric] : Family)
      appendSample(Text, Name, Labels, std::to_string(Metric.Value));
  }
  for (const auto &[Name, Family] : Histograms) {
    Text += "# TYPE " + Name + " histogram\n";
    for (const auto &[Labels, Metric] : Family)
      Metric.appendPrometheusText(Name, Labels, Text);
  }
  return Text;
}

} // namespace teasellock
