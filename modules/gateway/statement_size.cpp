#include "modules/gateway/statement_size.h"

namespace teasellock {

std::size_t sizeOf(const wire::statement_request &Request) {
  std::size_t Bytes = Request.line.text.size() + Request.line.shape.size() +
                      Request.line.arguments.size();
  for (const auto &Step : Request.steps)
    Bytes += Step.sql.size();
  for (const auto &[Name, Value] : Request.settings)
    Bytes += Name.size() + Value.size();
  return Bytes;
}

bool fitsBeside(std::size_t UsedBytes, std::size_t Bytes,
                std::size_t MaxBytes) {
  return Bytes <= OrdinaryStatementBytes || UsedBytes + Bytes <= MaxBytes;
}

} // namespace teasellock
