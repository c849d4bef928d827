/// Which texts may be fields and lines of a line protocol. Texts that come from
/// outside are checked with these when they arrive, and again when a message is
/// encoded.
#pragma once

#include <cstddef>
#include <string_view>

namespace teasellock {

/// Maximum length of a name that arrives in a message, in bytes.
constexpr std::size_t MaxNameBytes = 255;

/// Reports whether the text has no carriage return and no line feed, so that it
/// can't end a line.
bool isLineText(std::string_view Text);

/// Reports whether the text can be one of several fields of a line: it isn't
/// empty and has no space or control character. Bytes from 0x80 on are allowed.
bool isLineField(std::string_view Text);

/// Reports whether the text is a name: 1 to MaxNameBytes printable ASCII
/// characters other than the space.
bool isName(std::string_view Text);

} // namespace teasellock
