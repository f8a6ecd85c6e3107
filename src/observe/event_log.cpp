#include "observe/event_log.h"

#include "net/loop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace tamarackweir::observe {

namespace {

struct event_log
{
  event_log_options mOptions;
  std::string mWaiting;
  double mTokens = 0;
  time_point mRefilled{};
  std::uint64_t mDropped = 0;
  std::uint64_t mReported = 0;
};

event_log& Instance()
{
  static event_log log{ .mTokens = event_log_options{}.mBurstLines };
  return log;
}

void Refill(event_log& aLog, time_point aNow)
{
  if (aNow > aLog.mRefilled) {
    const double seconds = std::chrono::duration<double>(aNow - aLog.mRefilled).count();
    aLog.mTokens =
      std::min(aLog.mOptions.mBurstLines, aLog.mTokens + seconds * aLog.mOptions.mLinesPerSecond);
    aLog.mRefilled = aNow;
  }
}

void AppendEscaped(std::string& aOut, std::string_view aText)
{
  for (const char character : aText) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      aOut += '\\';
      aOut += character;
    } else if (code < 0x20 || code >= 0x7f) {
      std::array<char, 8> escaped{};
      std::snprintf(escaped.data(), escaped.size(), "\\u%04x", code);
      aOut += escaped.data();
    } else {
      aOut += character;
    }
  }
}

} // namespace

void OpenEventLog(const event_log_options& aOptions)
{
  event_log& log = Instance();
  log = event_log{ .mOptions = aOptions, .mTokens = aOptions.mBurstLines };
  const int flags = fcntl(aOptions.mDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(aOptions.mDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void FlushEventLog(time_point aNow)
{
  event_log& log = Instance();
  Refill(log, aNow);
  if (log.mDropped > log.mReported) {
    log.mWaiting +=
      "{\"event\":\"log_dropped\",\"lines\":" + std::to_string(log.mDropped - log.mReported) +
      "}\n";
    log.mReported = log.mDropped;
  }
  while (!log.mWaiting.empty()) {
    const ssize_t written =
      write(log.mOptions.mDescriptor, log.mWaiting.data(), log.mWaiting.size());
    if (written <= 0) {
      // EAGAIN: the reader is slow, the rest is tried again at the next flush.
      if (written < 0 && errno != EAGAIN && errno != EINTR) {
        log.mWaiting.clear();
      }
      return;
    }
    log.mWaiting.erase(0, static_cast<std::size_t>(written));
  }
}

std::uint64_t DroppedLines()
{
  return Instance().mDropped;
}

event_line::event_line(const char* aEvent)
{
  mText = "{\"t\":" + std::to_string(net::Now().time_since_epoch().count()) + ",\"event\":\"";
  mText += aEvent;
  mText += '"';
}

void event_line::Name(const char* aName)
{
  mText += ",\"";
  mText += aName;
  mText += "\":";
}

event_line& event_line::Text(const char* aName, std::string_view aValue)
{
  Name(aName);
  mText += '"';
  AppendEscaped(mText, aValue);
  mText += '"';
  return *this;
}

event_line& event_line::Number(const char* aName, std::int64_t aValue)
{
  Name(aName);
  mText += std::to_string(aValue);
  return *this;
}

event_line& event_line::Real(const char* aName, double aValue)
{
  Name(aName);
  std::array<char, 32> digits{};
  std::snprintf(digits.data(), digits.size(), "%.6g", aValue);
  mText += digits.data();
  return *this;
}

event_line& event_line::Flag(const char* aName, bool aValue)
{
  Name(aName);
  mText += aValue ? "true" : "false";
  return *this;
}

event_line& event_line::Millis(const char* aName, duration aValue)
{
  return Real(aName, std::chrono::duration<double, std::milli>(aValue).count());
}

void event_line::Write()
{
  event_log& log = Instance();
  if (log.mTokens < 1 || log.mWaiting.size() + mText.size() + 2 > log.mOptions.mBufferBytes) {
    ++log.mDropped;
    return;
  }
  log.mTokens -= 1;
  log.mWaiting += mText;
  log.mWaiting += "}\n";
}

} // namespace tamarackweir::observe
