#pragma once

#include "billing/record.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackweir::billing {

/// An object as read from the object store.
struct stored_object
{
  std::string mKey;
  std::string mBody;
};

/// Usage and cost billed to one owner.
struct owner_total
{
  std::uint64_t mRecords = 0;
  token_count mPrompt;
  token_count mAnswer;
  micro_cost mCost;

  bool operator==(const owner_total&) const = default;
};

/// A bill computed from a set of objects. Each record id counts once.
struct bill
{
  std::map<request_id, record> mRecords;
  std::map<owner_id, owner_total> mTotals;
  std::uint64_t mDuplicates = 0; ///< records dropped because their id was already counted
};

/// Kinds of inconsistency between stored records and reference data.
enum class finding_kind
{
  BadObject,       ///< an object is malformed, or its digest or count differs
  ObjectTotal,     ///< an object's stored totals differ from its records
  OwnersDisagree,  ///< two records with one id have different owners
  AmountsDisagree, ///< two records with one id have different amounts
  WrongOwner,      ///< the record's owner is not the owner of its client account
  MissingRecord,   ///< a sequence up to the origin's watermark is in no object
  OwnerTotal,      ///< an owner's stored total differs from the recomputed one
};

/// Returns the lower-case name of a kind.
const char* ToString(finding_kind aKind);

/// One inconsistency; the detail gives the values that differ.
struct finding
{
  finding_kind mKind = finding_kind::BadObject;
  std::string mWhere; ///< object key, record id, origin or owner
  std::string mDetail;
};

/// Reference data that `Verify` compares the records with. Empty maps are skipped.
struct verification_reference
{
  std::map<owner_id, owner_total> mStoredTotals; ///< as an owner kept them from an earlier bill
  std::map<account_id, owner_id> mOwners;        ///< from the settings
  std::map<std::string, sequence_number> mWatermarks; ///< by origin, from the table
};

/// A recomputed bill and the inconsistencies found.
struct verification
{
  bill mBill;
  std::vector<finding> mFindings;
};

/// Returns the body of a batch object: a header line with the record count, the totals per owner
/// and a digest, then one line per record.
std::string EncodeObject(const std::vector<record>& aRecords);

/// Inverse of `EncodeObject`; checks count and digest. Throws `error` of kind `InvalidInput`.
std::vector<record> DecodeObject(std::string_view aBody);

/// Adds up the records of all objects, counting each id once; the result does not depend on their
/// order. Of records with one id, the one with the lowest cost counts. Throws `error` for a
/// malformed object, because a bill without its records would be too low.
bill ReadBill(const std::vector<stored_object>& aObjects);

/// Recomputes both owners' bills and reports every inconsistency. A malformed object is a finding.
verification Verify(const std::vector<stored_object>& aObjects,
                    const verification_reference& aReference);

} // namespace tamarackweir::billing
