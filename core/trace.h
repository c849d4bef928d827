#pragma once

#include "core/ids.h"

#include <array>
#include <cstdint>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teasellock {

/// Trace context that is propagated with a request: W3C Trace Context, version
/// 00.
struct trace_context {
  std::array<std::uint8_t, 16> TraceId{};
  std::uint64_t SpanId = 0;
  bool Sampled = false;

  bool operator==(const trace_context &) const = default;
};

/// Formats a context as "00-<trace id>-<span id>-<flags>"; empty when it is not
/// sampled.
std::string toTraceParent(const trace_context &Context);

/// Parses a traceparent. Returns nullopt when it is malformed: a bad trace
/// header must not fail a request.
std::optional<trace_context> parseTraceParent(std::string_view Text);

class tracer;

/// The part of a request that is handled by one process. Written to the trace
/// file by end() or when destroyed. A span that is not sampled holds no state
/// and ignores all calls.
class span {
public:
  span();
  span(span &&) noexcept;
  span &operator=(span &&) noexcept;
  ~span();

  /// Adds an attribute.
  void setAttribute(std::string_view Key, std::string Value);

  /// Ends the span and writes it.
  void end();

  /// The context to propagate to the next process.
  trace_context context() const;

private:
  friend class tracer;
  struct state;
  std::unique_ptr<state> State;
};

/// Starts spans and writes ended ones to a file as OTLP/JSON, one export
/// request per line. Without a file no request is sampled.
class tracer {
public:
  tracer() = default;

  /// Appends to File. SampleRatio is the ratio (0 to 1) of requests to sample
  /// among those that arrive without a trace context. Throws error with step
  /// "trace.open" if File can't be opened.
  tracer(const vm_id &Vm, const std::string &File, double SampleRatio);

  /// Starts a span. If there is a Parent, its sampling decision is followed.
  span startSpan(std::string_view Name,
                 const std::optional<trace_context> &Parent);

private:
  friend class span;
  void write(const span::state &Span);

  vm_id Vm;
  std::ofstream Out;
  double SampleRatio = 0;
};

} // namespace teasellock
