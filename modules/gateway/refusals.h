/// SQLSTATE codes and error messages for statements that were not executed.
#pragma once

namespace teasellock {

constexpr const char *CannotConnectNow = "57P03";
constexpr const char *TooManyConnections = "53300";
constexpr const char *NoActiveTransaction = "25P01";
constexpr const char *TransactionEndedMessage =
    "the transaction has ended and was rolled back";
constexpr const char *PrimaryReplacedMessage = "the primary is being replaced";

} // namespace teasellock
