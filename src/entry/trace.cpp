#include "entry/trace.h"

namespace tamarackweir::entry {

using nlohmann::json;

namespace {

constexpr std::size_t kTraceIdAt = 3;
constexpr std::size_t kTraceIdLength = 32;
constexpr std::size_t kSpanIdAt = 36;
constexpr std::size_t kSpanIdLength = 16;
constexpr std::size_t kHeaderLength = 55;

bool IsHex(const std::string& aText)
{
  return aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// W3C Trace Context, section 3.2: "00-<trace id>-<parent id>-<flags>", where ids are not all zero.
bool IsTraceParent(const std::string& aHeader)
{
  if (aHeader.size() != kHeaderLength || !aHeader.starts_with("00-") || aHeader[35] != '-' ||
      aHeader[52] != '-') {
    return false;
  }
  const std::string traceId = aHeader.substr(kTraceIdAt, kTraceIdLength);
  const std::string spanId = aHeader.substr(kSpanIdAt, kSpanIdLength);
  return IsHex(traceId) && IsHex(spanId) && traceId.find_first_not_of('0') != std::string::npos &&
         spanId.find_first_not_of('0') != std::string::npos;
}

} // namespace

std::string id_generator::Hex(std::size_t aBytes)
{
  constexpr const char* kDigits = "0123456789abcdef";
  const std::lock_guard lock(mMutex);
  std::string text;
  std::uint64_t bits = 0;
  for (std::size_t i = 0; i < aBytes * 2; ++i) {
    bits = i % 16 == 0 ? mEngine() : bits >> 4U;
    text += kDigits[bits & 0xFU];
  }
  return text;
}

trace_context id_generator::NewSpan(const std::string& aHeader)
{
  const std::string traceId =
    IsTraceParent(aHeader) ? aHeader.substr(kTraceIdAt, kTraceIdLength) : Hex(kTraceIdLength / 2);
  return { traceId, Hex(kSpanIdLength / 2) };
}

std::string ParentOf(const std::string& aHeader)
{
  return IsTraceParent(aHeader) ? aHeader.substr(kSpanIdAt, kSpanIdLength) : "";
}

std::string ToHeader(const trace_context& aContext)
{
  return "00-" + aContext.mTraceId + "-" + aContext.mSpanId + "-01";
}

span_store::span_store(std::size_t aCapacity, std::string aService, std::int64_t aEpochOffset)
  : mCapacity(aCapacity)
  , mService(std::move(aService))
  , mEpochOffset(aEpochOffset)
{
}

void span_store::Add(span aSpan)
{
  const std::lock_guard lock(mMutex);
  mSpans.push_back(std::move(aSpan));
  if (mSpans.size() > mCapacity) {
    mSpans.pop_front();
  }
}

json span_store::Export(const std::string& aTraceId) const
{
  json spans = json::array();
  const std::lock_guard lock(mMutex);
  for (const span& entry : mSpans) {
    if (entry.mContext.mTraceId != aTraceId) {
      continue;
    }
    json exported{ { "traceId", entry.mContext.mTraceId },
                   { "id", entry.mContext.mSpanId },
                   { "name", entry.mName },
                   { "timestamp", mEpochOffset + entry.mStart.time_since_epoch().count() },
                   { "duration", entry.mDuration.count() },
                   { "localEndpoint", { { "serviceName", mService } } },
                   { "tags", entry.mTags } };
    if (!entry.mParentId.empty()) {
      exported["parentId"] = entry.mParentId;
    }
    spans.push_back(std::move(exported));
  }
  return spans;
}

} // namespace tamarackweir::entry
