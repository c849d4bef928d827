#pragma once

#include <cstdint>

namespace teasellock {

/// Kinds of the messages between control and the VMs' membership agents; their
/// bodies are defined in control_messages.thrift.
constexpr std::int16_t RenewalKind = 100;
constexpr std::int16_t RenewalReplyKind = 101;
constexpr std::int16_t FenceKind = 102;
constexpr std::int16_t FenceReplyKind = 103;
constexpr std::int16_t PromoteKind = 104;
constexpr std::int16_t PromoteReplyKind = 105;
constexpr std::int16_t OperatorRequestKind = 106;
constexpr std::int16_t OperatorReplyKind = 107;
constexpr std::int16_t NudgeKind = 108;
constexpr std::int16_t ResumeKind = 109;
constexpr std::int16_t ViewPushKind = 110;

} // namespace teasellock
