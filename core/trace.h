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

/// What one hop hands to the next: W3C trace context, version 00.
struct trace_context {
  std::array<std::uint8_t, 16> TraceId{};
  std::uint64_t SpanId = 0;
  bool Sampled = false;

  bool operator==(const trace_context &) const = default;
};

/// "00-<trace id>-<span id>-<flags>", or an empty text when not sampled.
std::string toTraceParent(const trace_context &Context);

/// Reads a traceparent. Nothing when it is malformed: a bad trace header never
/// fails a request.
std::optional<trace_context> parseTraceParent(std::string_view Text);

class tracer;

/// One hop's share of a request. Written out when it ends or dies. A span that
/// is not sampled costs nothing.
class span {
public:
  span();
  span(span &&) noexcept;
  span &operator=(span &&) noexcept;
  ~span();

  /// Adds an attribute.
  void set(std::string_view Key, std::string Value);

  /// Ends the span now.
  void end();

  /// The context to hand to the next hop.
  trace_context context() const;

private:
  friend class tracer;
  struct state;
  std::unique_ptr<state> State;
};

/// Starts spans and writes the ended ones as OTLP/JSON, one export request a
/// line, to a file. Without a file nothing is sampled.
class tracer {
public:
  tracer() = default;

  /// Appends to File; samples this share (0 to 1) of requests that arrive
  /// without a trace context of their own. Throws error if it can't be opened.
  tracer(const vm_id &Vm, const std::string &File, double SampledShare);

  /// Starts the span of this hop. Follows the parent's sampling if there is
  /// one.
  span start(std::string_view Name, const std::optional<trace_context> &Parent);

private:
  friend class span;
  void write(const span::state &Span);

  vm_id Vm;
  std::ofstream Out;
  double SampledShare = 0;
};

} // namespace teasellock
