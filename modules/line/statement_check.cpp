#include "modules/line/statement_check.h"

#include "core/text_check.h"

#include <algorithm>

namespace teasellock {

bool isEncodable(const wire::statement_request &Request) {
  const auto &Step = Request.line;
  bool HasValidOrganisation =
      Request.organisation.empty() || isLineField(Request.organisation);
  return HasValidOrganisation && isLineField(Step.id) &&
         isLineText(Step.text) && isLineText(Step.shape) &&
         isLineText(Step.arguments) &&
         std::all_of(Request.settings.begin(), Request.settings.end(),
                     [](const auto &Setting) {
                       return isLineField(Setting.first) &&
                              isLineText(Setting.second);
                     });
}

} // namespace teasellock
