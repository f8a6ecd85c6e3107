#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace tamarackweir {

/// How much a log shows; a level includes those after it.
enum class log_level
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Settings of the process log, which goes to standard output.
struct log_options
{
  log_level mLevel = log_level::Info;
  bool mJson = false; ///< one JSON object a line in place of text
};

/// Parses "debug", "info", "warning" or "error". Throws `error` of kind `InvalidInput` on other
/// text.
log_level ParseLogLevel(const std::string& aText);

/// Sets up the process log. Call once, before other threads start.
void ConfigureLog(const log_options& aOptions);

/// Logs an event with its fields (an object). Fields must not hold keys, tokens or message texts.
void Log(log_level aLevel, const std::string& aEvent,
         const nlohmann::json& aFields = nlohmann::json::object());

} // namespace tamarackweir
