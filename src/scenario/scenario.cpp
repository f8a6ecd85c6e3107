#include "scenario/scenario.h"

#include "base/error.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace tamarackweir::scenario {

using nlohmann::json;

namespace {

[[noreturn]] void Fail(const std::filesystem::path& aFile, const std::string& aWhat,
                       const std::string& aRemedy)
{
  throw error(error_kind::InvalidInput, aFile.string() + ": " + aWhat, aRemedy);
}

void CheckMembers(const json& aObject, const std::set<std::string>& aKnown,
                  const std::filesystem::path& aFile, const std::string& aWhere)
{
  for (const auto& [name, value] : aObject.items()) {
    if (!aKnown.contains(name)) {
      Fail(aFile, aWhere + " has the unknown member '" + name + "'", "remove it");
    }
  }
}

void Compare(const json& aExpected, const json& aActual, const std::string& aPath,
             std::size_t aStep, std::vector<mismatch>& aOut)
{
  if (aExpected.is_object() && aActual.is_object()) {
    for (const auto& [name, value] : aExpected.items()) {
      const json actual = aActual.contains(name) ? aActual.at(name) : json("<absent>");
      Compare(value, actual, aPath + "/" + name, aStep, aOut);
    }
  } else if (aExpected != aActual) {
    aOut.push_back({ aStep, aPath, aExpected.dump(), aActual.dump() });
  }
}

} // namespace

script Load(const std::filesystem::path& aFile)
{
  std::ifstream in(aFile);
  const json root = json::parse(in, nullptr, false, true);
  if (!root.is_object() || !root.contains("steps") || !root.at("steps").is_array()) {
    Fail(aFile, "not a scenario", "write an object with 'name' and 'steps' in JSON with comments");
  }
  CheckMembers(root, { "name", "setup", "steps" }, aFile, "the scenario");
  script result{ .mName = root.value("name", aFile.stem().string()),
                 .mSetup = root.value("setup", json::object()),
                 .mSteps = {} };
  for (const json& entry : root.at("steps")) {
    const std::string where = "step " + std::to_string(result.mSteps.size());
    if (!entry.is_object() || !entry.contains("do")) {
      Fail(aFile, where + " has no 'do'", "name the verb");
    }
    CheckMembers(entry, { "at_ms", "do", "with", "expect" }, aFile, where);
    const duration previous = result.mSteps.empty() ? duration{} : result.mSteps.back().mAt;
    const duration at = entry.contains("at_ms")
                          ? duration(std::chrono::milliseconds(entry.at("at_ms").get<int64_t>()))
                          : previous;
    if (at < previous) {
      Fail(aFile, where + " goes back in time", "sort the steps by 'at_ms'");
    }
    result.mSteps.push_back({ .mAt = at,
                              .mVerb = entry.at("do").get<std::string>(),
                              .mWith = entry.value("with", json::object()),
                              .mExpect = entry.value("expect", json::object()) });
  }
  return result;
}

std::vector<mismatch> Run(const script& aScript, const verb_table& aVerbs)
{
  std::vector<mismatch> mismatches;
  for (std::size_t i = 0; i < aScript.mSteps.size(); ++i) {
    const step& current = aScript.mSteps[i];
    const auto found = aVerbs.find(current.mVerb);
    if (found == aVerbs.end()) {
      throw error(error_kind::InvalidInput,
                  aScript.mName + ": step " + std::to_string(i) + " uses the unknown verb '" +
                    current.mVerb + "'",
                  "use a verb of the slice's verb table");
    }
    const json actual = found->second(current.mWith, time_point(current.mAt));
    Compare(current.mExpect, actual, "", i, mismatches);
  }
  return mismatches;
}

std::string Describe(const std::vector<mismatch>& aMismatches)
{
  std::ostringstream out;
  for (const auto& [stepIndex, path, expected, actual] : aMismatches) {
    out << "step " << stepIndex << " " << path << ": expected " << expected << ", actual " << actual
        << "\n";
  }
  return out.str();
}

} // namespace tamarackweir::scenario
