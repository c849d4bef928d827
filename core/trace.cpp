#include "core/trace.h"

#include "core/error.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <random>

namespace teasellock {

struct span::state {
  tracer *Owner = nullptr;
  std::string Name;
  trace_context Context;
  std::uint64_t ParentSpanId = 0;
  std::int64_t StartNanoseconds = 0;
  std::vector<std::pair<std::string, std::string>> Attributes;
};

namespace {

constexpr std::size_t TraceParentLength = 55;

std::mt19937_64 &randomGenerator() {
  static std::mt19937_64 Generator{std::random_device()()};
  return Generator;
}

std::int64_t unixNanoseconds() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(Now).count();
}

std::string toHex(std::uint64_t Number) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Number));
  return Text;
}

std::string toHex(const std::array<std::uint8_t, 16> &Bytes) {
  std::string Text;
  for (std::uint8_t Byte : Bytes) {
    char Pair[3];
    std::snprintf(Pair, sizeof(Pair), "%02x", Byte);
    Text += Pair;
  }
  return Text;
}

std::optional<std::uint64_t> parseHex(std::string_view Text) {
  std::uint64_t Number = 0;
  for (char Char : Text) {
    unsigned Digit;
    if (Char >= '0' && Char <= '9')
      Digit = Char - '0';
    else if (Char >= 'a' && Char <= 'f')
      Digit = Char - 'a' + 10;
    else
      return std::nullopt;
    Number = Number << 4 | Digit;
  }
  return Number;
}

} // namespace

std::string toTraceParent(const trace_context &Context) {
  if (!Context.Sampled)
    return {};
  return "00-" + toHex(Context.TraceId) + "-" + toHex(Context.SpanId) + "-01";
}

std::optional<trace_context> parseTraceParent(std::string_view Text) {
  if (Text.size() != TraceParentLength || Text.substr(0, 3) != "00-" ||
      Text[35] != '-' || Text[52] != '-')
    return std::nullopt;
  trace_context Context;
  for (std::size_t I = 0; I < Context.TraceId.size(); ++I) {
    auto Byte = parseHex(Text.substr(3 + 2 * I, 2));
    if (!Byte)
      return std::nullopt;
    Context.TraceId[I] = static_cast<std::uint8_t>(*Byte);
  }
  auto SpanId = parseHex(Text.substr(36, 16));
  auto Flags = parseHex(Text.substr(53, 2));
  if (!SpanId || !Flags)
    return std::nullopt;
  Context.SpanId = *SpanId;
  Context.Sampled = (*Flags & 1) != 0;
  return Context;
}

span::span() = default;

span::span(span &&) noexcept = default;

span &span::operator=(span &&Other) noexcept {
  end();
  State = std::move(Other.State);
  return *this;
}

span::~span() { end(); }

void span::setAttribute(std::string_view Key, std::string Value) {
  if (State)
    State->Attributes.emplace_back(Key, std::move(Value));
}

void span::end() {
  if (!State)
    return;
  State->Owner->write(*State);
  State.reset();
}

trace_context span::context() const {
  return State ? State->Context : trace_context();
}

tracer::tracer(const vm_id &Vm, const std::string &File, double SampleRatio)
    : Vm(Vm), Out(File, std::ios::app), SampleRatio(SampleRatio) {
  if (!Out)
    throw error("trace.open", File, "cannot be opened for writing");
}

span tracer::startSpan(std::string_view Name,
                       const std::optional<trace_context> &Parent) {
  span Result;
  if (!Out.is_open())
    return Result;
  std::uniform_real_distribution<double> Uniform(0, 1);
  bool Sampled =
      Parent ? Parent->Sampled : Uniform(randomGenerator()) < SampleRatio;
  if (!Sampled)
    return Result;
  Result.State = std::make_unique<span::state>();
  auto &State = *Result.State;
  State.Owner = this;
  State.Name = Name;
  State.StartNanoseconds = unixNanoseconds();
  State.Context.Sampled = true;
  State.Context.SpanId = randomGenerator()();
  if (Parent) {
    State.Context.TraceId = Parent->TraceId;
    State.ParentSpanId = Parent->SpanId;
  } else {
    for (auto &Byte : State.Context.TraceId)
      Byte = static_cast<std::uint8_t>(randomGenerator()());
  }
  return Result;
}

void tracer::write(const span::state &Span) {
  using nlohmann::json;
  json Attributes = json::array();
  for (const auto &[Key, Value] : Span.Attributes)
    Attributes.push_back({{"key", Key}, {"value", {{"stringValue", Value}}}});
  json SpanJson = {{"traceId", toHex(Span.Context.TraceId)},
                   {"spanId", toHex(Span.Context.SpanId)},
                   {"name", Span.Name},
                   {"kind", 2},
                   {"startTimeUnixNano", std::to_string(Span.StartNanoseconds)},
                   {"endTimeUnixNano", std::to_string(unixNanoseconds())},
                   {"attributes", Attributes}};
  if (Span.ParentSpanId != 0)
    SpanJson["parentSpanId"] = toHex(Span.ParentSpanId);
  json Resource = {
      {"attributes",
       {{{"key", "service.name"}, {"value", {{"stringValue", "teasellock"}}}},
        {{"key", "service.instance.id"},
         {"value", {{"stringValue", Vm.Value}}}}}}};
  json Line = {
      {"resourceSpans",
       {{{"resource", Resource},
         {"scopeSpans",
          {{{"scope", {{"name", "teasellock"}}}, {"spans", {SpanJson}}}}}}}}};
  auto Replace = json::error_handler_t::replace;
  Out << Line.dump(-1, ' ', false, Replace) << std::endl;
}

} // namespace teasellock
