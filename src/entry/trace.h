#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace tamarackweir::entry {

/// Place of a span in its trace, as W3C Trace Context carries it.
struct trace_context
{
  std::string mTraceId; ///< 32 lower-case hexadecimal digits
  std::string mSpanId;  ///< 16 lower-case hexadecimal digits
};

/// One hop of a request.
struct span
{
  trace_context mContext;
  std::string mParentId; ///< empty for the first span of a trace
  std::string mName;
  time_point mStart;
  duration mDuration{};
  std::map<std::string, std::string> mTags;
};

/// Draws trace and span ids; safe to use from all threads.
class id_generator
{
public:
  explicit id_generator(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /// A context for a new span: in the trace of the `traceparent` header `aHeader` if that is well
  /// formed, else in a new trace.
  trace_context NewSpan(const std::string& aHeader);

  /// `aBytes` random bytes in hexadecimal digits.
  std::string Hex(std::size_t aBytes);

private:
  std::mutex mMutex;
  std::mt19937_64 mEngine;
};

/// The span id of a `traceparent` header, or an empty text if the header is malformed.
std::string ParentOf(const std::string& aHeader);

/// The `traceparent` header that passes a context on.
std::string ToHeader(const trace_context& aContext);

/// The latest spans of an instance, for the operator API; safe to use from all threads.
class span_store
{
public:
  /// \param aCapacity spans kept; older ones are dropped
  /// \param aService name of the instance in exported spans
  /// \param aEpochOffset microseconds since 1970 at the zero of the runtime's clock
  span_store(std::size_t aCapacity, std::string aService, std::int64_t aEpochOffset);

  void Add(span aSpan);

  /// The spans of one trace in the Zipkin v2 JSON format.
  nlohmann::json Export(const std::string& aTraceId) const;

private:
  const std::size_t mCapacity;
  const std::string mService;
  const std::int64_t mEpochOffset;
  mutable std::mutex mMutex;
  std::deque<span> mSpans;
};

} // namespace tamarackweir::entry
