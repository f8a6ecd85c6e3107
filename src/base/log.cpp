#include "base/log.h"

#include "base/error.h"

#include <atomic>
#include <easylogging++.h>

namespace tamarackweir {

using nlohmann::json;

namespace {

std::atomic<log_level> gLevel{ log_level::Info };
std::atomic<bool> gJson{ false };

const char* NameOf(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return "debug";
    case log_level::Info:
      return "info";
    case log_level::Warning:
      return "warning";
    case log_level::Error:
      return "error";
  }
  return "info";
}

std::string Render(log_level aLevel, const std::string& aEvent, const json& aFields)
{
  if (gJson) {
    const el::base::SubsecondPrecision milliseconds(3);
    json line{ { "time",
                 el::base::utils::DateTime::getDateTime("%Y-%M-%dT%H:%m:%s.%g", &milliseconds) },
               { "level", NameOf(aLevel) },
               { "event", aEvent } };
    line.update(aFields);
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
  }
  std::string text = aEvent;
  for (const auto& [name, value] : aFields.items()) {
    text += " " + name + "=" + value.dump(-1, ' ', false, json::error_handler_t::replace);
  }
  return text;
}

} // namespace

log_level ParseLogLevel(const std::string& aText)
{
  for (const log_level level :
       { log_level::Debug, log_level::Info, log_level::Warning, log_level::Error }) {
    if (aText == NameOf(level)) {
      return level;
    }
  }
  throw error(error_kind::InvalidInput, "'" + aText + "' is not a log level",
              "use debug, info, warning or error");
}

void ConfigureLog(const log_options& aOptions)
{
  gLevel = aOptions.mLevel;
  gJson = aOptions.mJson;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            aOptions.mJson ? "%msg" : "%datetime %level %msg");
  el::Loggers::reconfigureLogger("default", configuration);
}

void Log(log_level aLevel, const std::string& aEvent, const json& aFields)
{
  if (aLevel < gLevel) {
    return;
  }
  const std::string text = Render(aLevel, aEvent, aFields);
  switch (aLevel) {
    case log_level::Debug:
    case log_level::Info:
      LOG(INFO) << text;
      break;
    case log_level::Warning:
      LOG(WARNING) << text;
      break;
    case log_level::Error:
      LOG(ERROR) << text;
      break;
  }
}

} // namespace tamarackweir
