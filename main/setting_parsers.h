/// Parsers of settings' values. All throw error with the step "settings.check"
/// and a reason when the value is invalid.
#pragma once

#include "core/endpoint.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <string>
#include <vector>

namespace teasellock {

/// Returns the error of an invalid value.
error invalidValue(const std::string &Reason);

/// Parses milliseconds, from Min to one hour.
duration parseDuration(const std::string &Text, std::int64_t Min);

/// Parses a number from 0 to 1.
double parseRatio(const std::string &Text);

/// Parses on or true, off or false.
bool parseBoolean(const std::string &Text);

/// Parses a name of letters, digits, '-', '_' and '.'.
std::string parseName(const std::string &Text);

/// Parses address:port.
endpoint parseAddress(const std::string &Text);

/// Parses addresses separated by commas.
std::vector<endpoint> parseAddresses(const std::string &Text);

/// Parses zone=region pairs separated by commas.
std::map<availability_zone_id, region_id> parseRegions(const std::string &Text);

/// Parses a whole number up to Max.
std::size_t parseCount(const std::string &Text, std::size_t Max);

/// Parses a count; an empty text, as a template renders an unknown field, is 0.
std::size_t parseCountOrNone(const std::string &Text, std::size_t Max);

} // namespace teasellock
