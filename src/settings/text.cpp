#include "settings/check.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <set>

namespace tamarackweir::settings {

using nlohmann::json;

namespace {

/// Stops the parser at a nesting that no settings need.
class too_deep : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Notes names that occur twice in one object, which the JSON library would silently merge.
class duplicate_finder
{
public:
  duplicate_finder(const std::string& aFile, std::vector<problem>& aProblems)
    : mFile(aFile)
    , mProblems(aProblems)
  {
  }

  bool operator()(int aDepth, json::parse_event_t aEvent, const json& aParsed)
  {
    switch (aEvent) {
      case json::parse_event_t::object_start:
      case json::parse_event_t::array_start:
        if (aDepth >= kMaxDepth) {
          throw too_deep("nested deeper than " + std::to_string(kMaxDepth) + " levels");
        }
        mOpen.emplace_back();
        break;
      case json::parse_event_t::object_end:
      case json::parse_event_t::array_end:
        mOpen.pop_back();
        break;
      case json::parse_event_t::key:
        NoteKey(aParsed.get_ref<const std::string&>());
        break;
      case json::parse_event_t::value:
        break;
    }
    return true;
  }

private:
  struct container
  {
    std::set<std::string> mNames;
    std::string mCurrent;
  };

  void NoteKey(const std::string& aName)
  {
    container& object = mOpen.back();
    object.mCurrent = aName;
    if (!object.mNames.insert(aName).second) {
      std::string path;
      for (const auto& [names, current] : mOpen) {
        path = current.empty() ? path : internal::Append(path, current);
      }
      mProblems.push_back({ severity::Error, mFile, path, "the name occurs twice in its object",
                            "merge the two or rename one" });
    }
  }

  std::string mFile;
  std::vector<problem>& mProblems;
  std::vector<container> mOpen;
};

/// A form of UTF-8 sequences: first bytes, range of the second byte, length (RFC 3629, section 4).
struct utf8_form
{
  std::uint8_t mFirstLow, mFirstHigh, mSecondLow, mSecondHigh;
  std::size_t mLength;
};

constexpr std::array kUtf8Forms{
  utf8_form{ 0x00, 0x7F, 0, 0, 1 },       utf8_form{ 0xC2, 0xDF, 0x80, 0xBF, 2 },
  utf8_form{ 0xE0, 0xE0, 0xA0, 0xBF, 3 }, utf8_form{ 0xE1, 0xEC, 0x80, 0xBF, 3 },
  utf8_form{ 0xED, 0xED, 0x80, 0x9F, 3 }, utf8_form{ 0xEE, 0xEF, 0x80, 0xBF, 3 },
  utf8_form{ 0xF0, 0xF0, 0x90, 0xBF, 4 }, utf8_form{ 0xF1, 0xF3, 0x80, 0xBF, 4 },
  utf8_form{ 0xF4, 0xF4, 0x80, 0x8F, 4 }
};

} // namespace

std::string ToString(const problem& aProblem)
{
  const char* kind = aProblem.mSeverity == severity::Error ? "error" : "warning";
  return aProblem.mFile + ": " + kind + ": " + (aProblem.mPath.empty() ? "/" : aProblem.mPath) +
         ": " + aProblem.mWhat + "; " + aProblem.mRemedy;
}

std::string ToString(const std::vector<problem>& aProblems)
{
  std::string text;
  for (const problem& entry : aProblems) {
    text += ToString(entry) + "\n";
  }
  return text;
}

bool HasErrors(const std::vector<problem>& aProblems)
{
  return std::any_of(aProblems.begin(), aProblems.end(),
                     [](const problem& aProblem) { return aProblem.mSeverity == severity::Error; });
}

namespace internal {

std::size_t FindBadUtf8(std::string_view aText)
{
  const auto byteAt = [&](std::size_t aIndex) { return static_cast<std::uint8_t>(aText[aIndex]); };
  for (std::size_t i = 0; i < aText.size();) {
    const auto form =
      std::find_if(kUtf8Forms.begin(), kUtf8Forms.end(), [&](const utf8_form& aForm) {
        return byteAt(i) >= aForm.mFirstLow && byteAt(i) <= aForm.mFirstHigh;
      });
    if (form == kUtf8Forms.end() || i + form->mLength > aText.size()) {
      return i;
    }
    for (std::size_t k = 1; k < form->mLength; ++k) {
      const std::uint8_t low = k == 1 ? form->mSecondLow : 0x80;
      const std::uint8_t high = k == 1 ? form->mSecondHigh : 0xBF;
      if (byteAt(i + k) < low || byteAt(i + k) > high) {
        return i;
      }
    }
    i += form->mLength;
  }
  return std::string_view::npos;
}

std::string Append(const std::string& aPath, const std::string& aName)
{
  std::string path = aPath + "/";
  for (const char c : aName) {
    path += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
  }
  return path;
}

json ReadText(std::string_view aText, const std::string& aFile, std::vector<problem>& aProblems)
{
  const auto fail = [&](const std::string& aWhat, const std::string& aRemedy) {
    aProblems.push_back({ severity::Error, aFile, "", aWhat, aRemedy });
    return json();
  };
  if (aText.size() > kMaxTextBytes) {
    return fail("the text has " + std::to_string(aText.size()) + " bytes, the limit is " +
                  std::to_string(kMaxTextBytes),
                "remove what is unused");
  }
  if (const auto bad = FindBadUtf8(aText); bad != std::string_view::npos) {
    const auto line =
      std::count(aText.begin(), aText.begin() + static_cast<std::ptrdiff_t>(bad), '\n') + 1;
    return fail("the byte at offset " + std::to_string(bad) + " in line " + std::to_string(line) +
                  " is not UTF-8",
                "save the file as UTF-8");
  }
  try {
    return json::parse(aText, duplicate_finder(aFile, aProblems), true, true);
  } catch (const json::exception& e) {
    return fail(std::string("the text is not JSON: ") + e.what(), "correct the syntax there");
  } catch (const too_deep& e) {
    return fail(std::string("the text is ") + e.what(), "remove the nesting");
  }
}

} // namespace internal
} // namespace tamarackweir::settings
