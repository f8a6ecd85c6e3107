#pragma once

#include "base/clock.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tamarackweir::scenario {

/// What a step does: gets the step's `with` object and the time of the paused clock, returns what
/// it saw.
using verb = std::function<nlohmann::json(const nlohmann::json& aWith, time_point aNow)>;

/// The verbs of one slice by name.
using verb_table = std::map<std::string, verb>;

/// One line of a scenario: at a time, do a verb with arguments, and see what is expected.
struct step
{
  duration mAt{};
  std::string mVerb;
  nlohmann::json mWith;
  nlohmann::json mExpect;
};

/// A scenario file: JSON with comments,
/// `{"name": "...", "setup": {...}, "steps": [{"at_ms": 0, "do": "verb", "with": {...}, "expect":
/// {...}}]}`.
struct script
{
  std::string mName;
  nlohmann::json mSetup;
  std::vector<step> mSteps;
};

/// A difference between what a step expected and what its verb returned.
struct mismatch
{
  std::size_t mStep = 0;
  std::string mPath;
  std::string mExpected;
  std::string mActual;
};

/// Reads a scenario file. Throws `error` of kind `InvalidInput` that names the file and the step:
/// on bad JSON, on an unknown member, and where times go backwards.
script Load(const std::filesystem::path& aFile);

/// Runs all steps in order, moving the time to each step's `at_ms`; returns every mismatch.
///
/// An expected object matches an object that has at least its members; other values match when
/// equal. Throws `error` of kind `InvalidInput` for a verb that is not in `aVerbs`.
std::vector<mismatch> Run(const script& aScript, const verb_table& aVerbs);

/// One line per mismatch with step, path, expected and actual value; empty where there is none.
std::string Describe(const std::vector<mismatch>& aMismatches);

} // namespace tamarackweir::scenario
