#include "relay/sse.h"

#include "base/error.h"

#include <charconv>

namespace tamarackweir::relay {

namespace {

void AddField(sse_decoder& aDecoder, std::string_view aName, std::string_view aValue)
{
  sse_event& event = aDecoder.mPartialEvent;
  if (aName == "data") {
    if (aDecoder.mHasData) {
      event.mData += '\n';
    }
    event.mData += aValue;
    aDecoder.mHasData = true;
  } else if (aName == "event") {
    event.mEvent = aValue;
  } else if (aName == "id") {
    std::uint64_t id = 0;
    const auto [end, status] = std::from_chars(aValue.begin(), aValue.end(), id);
    if (status == std::errc() && end == aValue.end()) {
      event.mId = id;
    }
  }
}

void AddLine(sse_decoder& aDecoder, std::string_view aLine, std::vector<sse_event>& aOut)
{
  if (aLine.empty()) {
    // The HTML standard requires that an event without data is not dispatched.
    if (aDecoder.mHasData) {
      aOut.push_back(std::move(aDecoder.mPartialEvent));
    }
    aDecoder.mPartialEvent = {};
    aDecoder.mHasData = false;
    return;
  }
  const auto colon = aLine.find(':');
  if (colon == 0) {
    return;
  }
  std::string_view value;
  if (colon != std::string_view::npos) {
    value = aLine.substr(colon + 1);
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
  }
  AddField(aDecoder, aLine.substr(0, colon), value);
}

} // namespace

std::vector<sse_event> Decode(sse_decoder& aDecoder, std::string_view aBytes)
{
  std::vector<sse_event> events;
  while (!aBytes.empty()) {
    const auto end = aBytes.find('\n');
    aDecoder.mPartialLine += aBytes.substr(0, end);
    if (aDecoder.mPartialLine.size() + aDecoder.mPartialEvent.mData.size() >
        aDecoder.mMaxEventBytes) {
      throw error(error_kind::InvalidInput,
                  "a server-sent event is longer than " + std::to_string(aDecoder.mMaxEventBytes) +
                    " bytes",
                  "check that the backend server ends each event with a blank line");
    }
    if (end == std::string_view::npos) {
      break;
    }
    aBytes.remove_prefix(end + 1);
    std::string line = std::move(aDecoder.mPartialLine);
    aDecoder.mPartialLine.clear();
    if (line.ends_with('\r')) {
      line.pop_back();
    }
    AddLine(aDecoder, line, events);
  }
  return events;
}

std::string Encode(const sse_event& aEvent)
{
  std::string text;
  if (aEvent.mId) {
    text += "id: " + std::to_string(*aEvent.mId) + "\n";
  }
  if (!aEvent.mEvent.empty()) {
    text += "event: " + aEvent.mEvent + "\n";
  }
  std::string_view remaining = aEvent.mData;
  for (;;) {
    const auto end = remaining.find('\n');
    text += "data: ";
    text += remaining.substr(0, end);
    text += '\n';
    if (end == std::string_view::npos) {
      break;
    }
    remaining.remove_prefix(end + 1);
  }
  return text + "\n";
}

} // namespace tamarackweir::relay
