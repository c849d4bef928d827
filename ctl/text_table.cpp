#include "ctl/text_table.h"

#include <algorithm>

namespace teasellock {

std::string formatColumns(const std::vector<std::vector<std::string>> &Lines) {
  constexpr std::size_t Gap = 2;
  std::vector<std::size_t> Widths;
  for (const auto &Line : Lines) {
    Widths.resize(std::max(Widths.size(), Line.size()));
    for (std::size_t I = 0; I < Line.size(); ++I)
      Widths[I] = std::max(Widths[I], Line[I].size());
  }
  std::string Text;
  for (const auto &Line : Lines) {
    std::string Padded;
    for (std::size_t I = 0; I < Line.size(); ++I) {
      Padded += Line[I];
      if (I + 1 < Line.size())
        Padded.append(Widths[I] - Line[I].size() + Gap, ' ');
    }
    Text += Padded + "\n";
  }
  return Text;
}

} // namespace teasellock
