#include "billing/bill.h"

#include "base/digest.h"
#include "base/error.h"

#include <nlohmann/json.hpp>
#include <set>
#include <tuple>

namespace tamarackweir::billing {

using nlohmann::json;

namespace {

struct parsed_object
{
  std::vector<record> mRecords;
  std::map<owner_id, owner_total> mTotals;
};

void AddToTotals(std::map<owner_id, owner_total>& aTotals, const record& aRecord)
{
  owner_total& total = aTotals[aRecord.mOwner];
  ++total.mRecords;
  total.mPrompt = token_count(total.mPrompt.Value() + PromptTokens(aRecord).Value());
  total.mAnswer = token_count(total.mAnswer.Value() + AnswerTokens(aRecord).Value());
  total.mCost = micro_cost(total.mCost.Value() + CostOf(aRecord).Value());
}

std::map<owner_id, owner_total> TotalsOf(const std::vector<record>& aRecords)
{
  std::map<owner_id, owner_total> totals;
  for (const record& entry : aRecords) {
    AddToTotals(totals, entry);
  }
  return totals;
}

std::string Describe(const owner_total& aTotal)
{
  return std::to_string(aTotal.mRecords) + " records, " + std::to_string(aTotal.mPrompt.Value()) +
         " prompt tokens, " + std::to_string(aTotal.mAnswer.Value()) + " answer tokens, " +
         std::to_string(aTotal.mCost.Value()) + " micro-units";
}

[[noreturn]] void ThrowObjectError(const std::string& aReason)
{
  throw error(error_kind::InvalidInput, "bill object: " + aReason,
              "read the object again, or restore it from the store's history");
}

parsed_object ParseObject(std::string_view aBody)
{
  const auto lineEnd = aBody.find('\n');
  const json header = json::parse(aBody.substr(0, lineEnd), nullptr, false);
  if (lineEnd == std::string_view::npos || !header.is_object()) {
    ThrowObjectError("the header line is missing or truncated");
  }
  std::string_view lines = aBody.substr(lineEnd + 1);
  parsed_object parsed;
  try {
    if (const std::string digest = Sha256Hex(lines);
        header.at("sha256").get<std::string>() != digest) {
      ThrowObjectError("expected digest " + header.at("sha256").get<std::string>() + ", actual " +
                       digest);
    }
    for (const auto& [owner, total] : header.at("totals").items()) {
      parsed.mTotals[owner_id(owner)] = { total.at("records").get<std::uint64_t>(),
                                          token_count(total.at("prompt").get<std::int64_t>()),
                                          token_count(total.at("answer").get<std::int64_t>()),
                                          micro_cost(total.at("cost").get<std::int64_t>()) };
    }
    while (!lines.empty()) {
      const auto end = lines.find('\n');
      parsed.mRecords.push_back(DecodeLine(lines.substr(0, end)));
      lines.remove_prefix(end == std::string_view::npos ? lines.size() : end + 1);
    }
    if (header.at("records").get<std::size_t>() != parsed.mRecords.size()) {
      ThrowObjectError("expected " + header.at("records").dump() + " records, actual " +
                       std::to_string(parsed.mRecords.size()));
    }
  } catch (const json::exception& cause) {
    ThrowObjectError(std::string("malformed header: ") + cause.what());
  }
  return parsed;
}

/// Sort key that selects one of several records with the same id: the smallest key wins. The cost
/// comes first, so the caller pays the lowest amount; the rest makes the read order irrelevant.
auto PreferenceKey(const record& aRecord)
{
  return std::tuple(CostOf(aRecord), aRecord.mOwner, aRecord.mOrigin, aRecord.mSequence);
}

void AddRecord(bill& aBill, const record& aRecord)
{
  const auto [found, added] = aBill.mRecords.emplace(aRecord.mId, aRecord);
  if (!added) {
    ++aBill.mDuplicates;
    if (PreferenceKey(aRecord) < PreferenceKey(found->second)) {
      found->second = aRecord;
    }
  }
}

void ComputeTotals(bill& aBill)
{
  for (const auto& [id, entry] : aBill.mRecords) {
    AddToTotals(aBill.mTotals, entry);
  }
}

void CompareTotals(const std::map<owner_id, owner_total>& aExpected,
                   const std::map<owner_id, owner_total>& aActual, finding_kind aKind,
                   const std::string& aWhere, std::vector<finding>& aOut)
{
  std::set<owner_id> owners;
  for (const auto* totals : { &aExpected, &aActual }) {
    for (const auto& [owner, total] : *totals) {
      owners.insert(owner);
    }
  }
  for (const owner_id& owner : owners) {
    const auto expected = aExpected.find(owner);
    const auto actual = aActual.find(owner);
    const owner_total storedTotal = expected == aExpected.end() ? owner_total{} : expected->second;
    const owner_total recomputedTotal = actual == aActual.end() ? owner_total{} : actual->second;
    if (storedTotal != recomputedTotal) {
      aOut.push_back(
        { aKind, aWhere + owner.Value(),
          "stored " + Describe(storedTotal) + "; recomputed " + Describe(recomputedTotal) });
    }
  }
}

void CompareRecords(const record& aFirst, const record& aSecond, std::vector<finding>& aOut)
{
  const std::string where = aFirst.mId.Value();
  const std::string origins =
    " (" + ToString(aFirst.mOrigin) + ", " + ToString(aSecond.mOrigin) + ")";
  if (aFirst.mOwner != aSecond.mOwner) {
    aOut.push_back({ finding_kind::OwnersDisagree, where,
                     aFirst.mOwner.Value() + " and " + aSecond.mOwner.Value() + origins });
  }
  if (CostOf(aFirst) != CostOf(aSecond)) {
    aOut.push_back({ finding_kind::AmountsDisagree, where,
                     std::to_string(CostOf(aFirst).Value()) + " and " +
                       std::to_string(CostOf(aSecond).Value()) + " micro-units" + origins });
  }
}

/// Reports gaps in the sequences of each origin, up to its watermark or its highest record.
void CheckSequences(const std::map<std::string, std::set<sequence_number>>& aSeen,
                    const verification_reference& aReference, std::vector<finding>& aOut)
{
  std::map<std::string, std::uint64_t> last;
  for (const auto& [origin, sequences] : aSeen) {
    last[origin] = sequences.rbegin()->Value();
  }
  for (const auto& [origin, watermark] : aReference.mWatermarks) {
    last[origin] = std::max(last[origin], watermark.Value());
  }
  static const std::set<sequence_number> kNone;
  for (const auto& [origin, end] : last) {
    const auto found = aSeen.find(origin);
    const auto& sequences = found == aSeen.end() ? kNone : found->second;
    std::uint64_t next = 1;
    const auto report = [&, name = origin](std::uint64_t aUntil) {
      if (next < aUntil) {
        aOut.push_back({ finding_kind::MissingRecord, name,
                         "sequences " + std::to_string(next) + " to " + std::to_string(aUntil - 1) +
                           " are in no object" });
      }
    };
    for (const sequence_number sequence : sequences) {
      report(sequence.Value());
      next = sequence.Value() + 1;
    }
    report(end + 1);
  }
}

} // namespace

const char* ToString(finding_kind aKind)
{
  switch (aKind) {
    case finding_kind::BadObject:
      return "bad_object";
    case finding_kind::ObjectTotal:
      return "object_total";
    case finding_kind::OwnersDisagree:
      return "owners_disagree";
    case finding_kind::AmountsDisagree:
      return "amounts_disagree";
    case finding_kind::WrongOwner:
      return "wrong_owner";
    case finding_kind::MissingRecord:
      return "missing_record";
    case finding_kind::OwnerTotal:
      return "owner_total";
  }
  return "bad_object";
}

std::string EncodeObject(const std::vector<record>& aRecords)
{
  std::string lines;
  for (const record& entry : aRecords) {
    lines += EncodeLine(entry);
    lines += '\n';
  }
  json totals = json::object();
  for (const auto& [owner, total] : TotalsOf(aRecords)) {
    totals[owner.Value()] = { { "records", total.mRecords },
                              { "prompt", total.mPrompt.Value() },
                              { "answer", total.mAnswer.Value() },
                              { "cost", total.mCost.Value() } };
  }
  const json header{ { "records", aRecords.size() },
                     { "sha256", Sha256Hex(lines) },
                     { "totals", totals } };
  return header.dump() + "\n" + lines;
}

std::vector<record> DecodeObject(std::string_view aBody)
{
  return ParseObject(aBody).mRecords;
}

bill ReadBill(const std::vector<stored_object>& aObjects)
{
  bill read;
  for (const stored_object& object : aObjects) {
    for (const record& entry : DecodeObject(object.mBody)) {
      AddRecord(read, entry);
    }
  }
  ComputeTotals(read);
  return read;
}

verification Verify(const std::vector<stored_object>& aObjects,
                    const verification_reference& aReference)
{
  verification result;
  std::map<std::string, std::set<sequence_number>> seen;
  std::map<request_id, record> first;
  for (const stored_object& object : aObjects) {
    parsed_object parsed;
    try {
      parsed = ParseObject(object.mBody);
    } catch (const error& cause) {
      result.mFindings.push_back({ finding_kind::BadObject, object.mKey, cause.what() });
      continue;
    }
    CompareTotals(parsed.mTotals, TotalsOf(parsed.mRecords), finding_kind::ObjectTotal,
                  object.mKey + " ", result.mFindings);
    for (const record& entry : parsed.mRecords) {
      seen[ToString(entry.mOrigin)].insert(entry.mSequence);
      if (const auto [found, added] = first.emplace(entry.mId, entry); !added) {
        CompareRecords(found->second, entry, result.mFindings);
      }
      if (const auto owner = aReference.mOwners.find(entry.mAccount);
          owner != aReference.mOwners.end() && owner->second != entry.mOwner) {
        result.mFindings.push_back({ finding_kind::WrongOwner, entry.mId.Value(),
                                     "client account " + entry.mAccount.Value() + " belongs to " +
                                       owner->second.Value() + ", the record bills " +
                                       entry.mOwner.Value() });
      }
      AddRecord(result.mBill, entry);
    }
  }
  ComputeTotals(result.mBill);
  CheckSequences(seen, aReference, result.mFindings);
  if (!aReference.mStoredTotals.empty()) {
    CompareTotals(aReference.mStoredTotals, result.mBill.mTotals, finding_kind::OwnerTotal, "",
                  result.mFindings);
  }
  return result;
}

} // namespace tamarackweir::billing
