#include "relay/sse_splitter.h"

#include "base/error.h"

#include <charconv>

namespace tamarackweir::relay {

namespace {

/// Position behind the next blank line, or npos. Lines end with LF or CR LF.
std::size_t EndOfEvent(std::string_view aText)
{
  std::size_t lineStart = 0;
  while (true) {
    const auto lineEnd = aText.find('\n', lineStart);
    if (lineEnd == std::string_view::npos) {
      return std::string_view::npos;
    }
    const std::string_view line = aText.substr(lineStart, lineEnd - lineStart);
    if (line.empty() || line == "\r") {
      return lineEnd + 1;
    }
    lineStart = lineEnd + 1;
  }
}

std::optional<std::uint64_t> IdOf(std::string_view aEvent)
{
  std::optional<std::uint64_t> id;
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(end == std::string_view::npos ? aEvent.size() : end + 1);
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(line.starts_with("id: ") ? 4 : 3);
    std::uint64_t value = 0;
    if (std::from_chars(line.begin(), line.end(), value).ec == std::errc()) {
      id = value;
    }
  }
  return id;
}

} // namespace

whole_events Cut(raw_events& aState, std::string_view aBytes, std::optional<std::uint64_t> aAfter)
{
  whole_events result;
  aState.mPending += aBytes;
  std::string_view rest = aState.mPending;
  for (auto end = EndOfEvent(rest); end != std::string_view::npos; end = EndOfEvent(rest)) {
    const std::string_view event = rest.substr(0, end);
    rest.remove_prefix(end);
    const auto id = IdOf(event);
    if (id && aAfter && *id <= *aAfter) {
      continue;
    }
    result.mBytes += event;
    ++result.mCount;
    if (id) {
      result.mLastId = id;
    }
  }
  if (rest.size() > aState.mMaxEventBytes) {
    throw error(error_kind::InvalidInput,
                "a server-sent event is longer than " + std::to_string(aState.mMaxEventBytes) +
                  " bytes",
                "check that the backend server ends events with a blank line");
  }
  aState.mPending = std::string(rest);
  return result;
}

} // namespace tamarackweir::relay
