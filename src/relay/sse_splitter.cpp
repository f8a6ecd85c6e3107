#include "relay/sse_splitter.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace tamarackweir::relay {

namespace {

/// Returns the position after the next blank line, or npos. Lines end with LF or CR LF.
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

/// Whether a line is a comment, a field with a name of letters, digits, "-" and "_", or one of the
/// standard's fields without a value.
bool IsField(std::string_view aLine)
{
  constexpr std::array<std::string_view, 4> kFields{ "data", "event", "id", "retry" };
  const auto colon = aLine.find(':');
  const std::string_view name = aLine.substr(0, colon);
  if (colon == std::string_view::npos) {
    return std::find(kFields.begin(), kFields.end(), name) != kFields.end();
  }
  return std::all_of(name.begin(), name.end(), [](char aCharacter) {
    return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 || aCharacter == '-' ||
           aCharacter == '_';
  });
}

/// What an event consists of.
struct event_form
{
  bool mIsValid = true;   ///< each line is a field or a comment
  bool mIsComment = true; ///< it has no field
};

event_form FormOf(std::string_view aEvent)
{
  event_form form;
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(end == std::string_view::npos ? aEvent.size() : end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.empty() || line.starts_with(':')) {
      continue;
    }
    form.mIsComment = false;
    form.mIsValid = form.mIsValid && IsField(line);
  }
  return form;
}

std::optional<std::uint64_t> ParseEventId(std::string_view aEvent)
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

complete_events ExtractCompleteEvents(sse_splitter& aSplitter, std::string_view aBytes,
                                      std::optional<std::uint64_t> aAfter)
{
  complete_events result;
  aSplitter.mIncompleteEvent += aBytes;
  std::string_view remaining = aSplitter.mIncompleteEvent;
  for (auto end = EndOfEvent(remaining); end != std::string_view::npos;
       end = EndOfEvent(remaining)) {
    const std::string_view event = remaining.substr(0, end);
    remaining.remove_prefix(end);
    const auto id = ParseEventId(event);
    const event_form form = FormOf(event);
    if (!form.mIsValid) {
      result.mFault = "a line of a server-sent event is no field";
    } else if (!id && !form.mIsComment && aSplitter.mNeedsIds) {
      result.mFault = "a server-sent event has no id, though earlier ones had";
    }
    if (result.mFault != nullptr) {
      return result;
    }
    aSplitter.mNeedsIds = aSplitter.mNeedsIds || id.has_value();
    if (id && aAfter && *id <= *aAfter) {
      continue;
    }
    aAfter = id ? id : aAfter;
    result.mBytes += event;
    ++result.mCount;
    result.mComments += form.mIsComment ? 1 : 0;
    if (id) {
      result.mLastId = id;
    }
  }
  if (remaining.size() > aSplitter.mMaxEventBytes) {
    throw error(error_kind::InvalidInput,
                "a server-sent event is longer than " + std::to_string(aSplitter.mMaxEventBytes) +
                  " bytes",
                "check that the backend server ends each event with a blank line");
  }
  aSplitter.mIncompleteEvent = std::string(remaining);
  return result;
}

} // namespace tamarackweir::relay
