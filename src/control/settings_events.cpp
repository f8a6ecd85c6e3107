#include "control/internal.h"

#include "base/error.h"
#include "base/log.h"
#include "settings/check.h"
#include "settings/diff.h"
#include "settings/inherit.h"

namespace tamarackweir::control::internal {

using nlohmann::json;

namespace {

/// Trees kept as bases of patches: a change every 48 s (1,800 a day) reaches all instances within 4
/// s, so a peer is rarely more than one revision behind.
constexpr std::size_t kPastTrees = 4;
/// Instances asked at a time for the revision that they hold.
constexpr std::size_t kProbesPerCall = 32;

/// Tells the slices what the new revision says.
void Distribute(state& aState, time_point aNow)
{
  const settings::tree& tree = *aState.mTree;
  std::vector<balancing::data_centre> dataCentres;
  for (const auto& [id, dataCentre] : tree.mDataCentres) {
    dataCentres.push_back(
      { id, dataCentre.mRegion.Value(), dataCentre.mState == settings::data_centre_state::In });
  }
  balancing::OnDataCentres(aState.mBalancing, dataCentres, aNow);
  for (const auto& [id, server] : tree.mServers) {
    capacity::OnSettings(aState.mCapacity, id,
                         static_cast<std::int64_t>(server.mColdLimit.Value()));
  }
  const settings::values values = settings::OwnerValues(tree, aState.mSelf.mOwner);
  aState.mRetries.mRatio = values.mRetryBudget.Value();
  aState.mBilling.mOptions.mMaxAtRiskRecords = values.mBillAtRiskRecords.Value();
  aState.mBilling.mOptions.mMaxBufferedRecords = values.mBillBufferRecords.Value();
  aState.mClaims.mOptions.mRetention = values.mClaimRetention;
}

void Adopt(state& aState, const settings::adopt_revision& aAdopt, time_point aNow, effects& aOut)
{
  try {
    auto tree = std::make_shared<settings::tree>(settings::Parse(aAdopt.mTree));
    aState.mTree = std::move(tree);
    Distribute(aState, aNow);
  } catch (const error& failure) {
    // Only a checked tree is accepted, so this is a tree of a newer build; the old one stays in
    // force and the instance is reported as unconfirmed.
    Log(log_level::Error, "settings_revision_unreadable",
        { { "revision", aAdopt.mRevision.Value() }, { "error", failure.what() } });
    return;
  }
  aState.mPastTrees.push_back({ aAdopt.mRevision, aAdopt.mTree });
  if (aState.mPastTrees.size() > kPastTrees) {
    aState.mPastTrees.pop_front();
  }
  settings::OnReport(aState.mEnforcement, { aState.mSelf.mId, aState.mSelf.mEpoch },
                     aAdopt.mRevision);
  aOut.mSettingsChanged = true;
  Log(log_level::Info, "settings_revision_adopted", { { "revision", aAdopt.mRevision.Value() } });
}

void OnProposalEnded(state& aState, ticket aTicket, const settings::acceptance_outcome& aOutcome,
                     time_point aNow, effects& aOut)
{
  const auto proposal = aState.mProposals.extract(aTicket);
  if (proposal && aOutcome.mStatus == settings::acceptance_status::Accepted) {
    const settings::change& change = proposal.mapped().mChange;
    Apply(aState, settings::OnAccepted(aState.mPropagation, aOutcome.mRevision, change.mTree, aNow),
          aNow, aOut);
    Log(log_level::Info, "settings_change_accepted",
        { { "revision", aOutcome.mRevision.Value() },
          { "change", change.mId.Value() },
          { "owner", change.mAuthor.mOwner.Value() },
          { "operator", change.mAuthor.mOperator.Value() } });
  }
  aOut.mReplies.push_back({ aTicket, aOutcome });
}

} // namespace

void Apply(state& aState, const settings::propagation_actions& aActions, time_point aNow,
           effects& aOut)
{
  for (const settings::propagation_action& action : aActions) {
    std::visit(
      overloaded{
        [&](const settings::read_store& aRead) {
          const slice reader = aRead.mContent ? slice::SettingsContent : slice::SettingsHead;
          const std::uint64_t content = aRead.mContent ? aRead.mContent->Value() : 0;
          aOut.mReads.push_back({ { reader, content, "" }, aRead.mRequest, aNow });
        },
        [&](const settings::send_gossip& aSend) {
          AddPart(aState, aSend.mTo, aSend.mMessage, aOut);
        },
        [&](const settings::fetch_revision& aFetch) {
          AddPart(aState, aFetch.mFrom,
                  peer::revision_fetch{ aFetch.mRevision, aState.mPropagation.mHeld }, aOut);
        },
        [&](const settings::adopt_revision& aAdopt) { Adopt(aState, aAdopt, aNow, aOut); },
      },
      action);
  }
}

void OnRevisionFetch(state& aState, const instance_id& aFrom, const peer::revision_fetch& aFetch,
                     effects& aOut)
{
  peer::revision_content content{ aFetch.mRevision, revision(0), "" };
  if (aState.mPropagation.mHeld >= aFetch.mRevision && aState.mPropagation.mHeld != revision(0)) {
    // A later revision than asked for does as well, and saves a second round.
    content.mRevision = aState.mPropagation.mHeld;
    content.mContent = aState.mPropagation.mTree.dump();
    for (const auto& [base, tree] : aState.mPastTrees) {
      if (base == aFetch.mHeld) {
        if (std::string patch = json::diff(tree, aState.mPropagation.mTree).dump();
            patch.size() < content.mContent.size()) {
          content.mBase = base;
          content.mContent = std::move(patch);
        }
      }
    }
  }
  AddPart(aState, aFrom, std::move(content), aOut);
}

void OnRevisionContent(state& aState, const peer::revision_content& aContent, time_point aNow,
                       effects& aOut)
{
  json tree = json::parse(aContent.mContent, nullptr, false);
  if (tree.is_discarded()) {
    tree = nullptr;
  } else if (aContent.mBase != revision(0)) {
    try {
      tree = aContent.mBase == aState.mPropagation.mHeld ? aState.mPropagation.mTree.patch(tree)
                                                         : json(nullptr);
    } catch (const json::exception&) {
      tree = nullptr;
    }
  }
  Apply(aState, settings::OnContent(aState.mPropagation, aContent.mRevision, tree, aNow), aNow,
        aOut);
}

void ApplyAcceptance(state& aState, ticket aTicket, const settings::acceptance_action& aAction,
                     time_point aNow, effects& aOut)
{
  if (aAction.mDelay > duration(0)) {
    settings::acceptance_action later = aAction;
    later.mDelay = duration(0);
    aState.mDelayedProposals.push_back({ aNow + aAction.mDelay, aTicket, later });
    return;
  }
  const operation awaited{ slice::SettingsAcceptance, aTicket.Value(), "" };
  std::visit(overloaded{
               [&](const platform::read_request& aRequest) {
                 aOut.mReads.push_back({ awaited, aRequest, aNow });
               },
               [&](const platform::transaction& aTransaction) {
                 aOut.mCommits.push_back({ awaited, aTransaction, aNow });
               },
               [&](const settings::acceptance_outcome& aOutcome) {
                 OnProposalEnded(aState, aTicket, aOutcome, aNow, aOut);
               },
             },
             aAction.mDo);
}

void TickProposals(state& aState, time_point aNow, effects& aOut)
{
  std::vector<delayed_proposal> due;
  std::erase_if(aState.mDelayedProposals, [&](const delayed_proposal& aDelayed) {
    if (aDelayed.mAt <= aNow) {
      due.push_back(aDelayed);
      return true;
    }
    return false;
  });
  for (const auto& [at, ticket, action] : due) {
    ApplyAcceptance(aState, ticket, action, aNow, aOut);
  }
}

void OnPropose(state& aState, ticket aTicket, const settings::change& aChange, time_point aNow,
               effects& aOut)
{
  settings::acceptance& proposal = aState.mProposals[aTicket];
  proposal.mChange = aChange;
  ApplyAcceptance(aState, aTicket, settings::Propose(proposal), aNow, aOut);
}

json Unconfirmed(state& aState, revision aRevision, time_point aNow, effects& aOut)
{
  std::set<settings::instance_run> live{ { aState.mSelf.mId, aState.mSelf.mEpoch } };
  std::set<instance_id> missing;
  for (const membership::member* member : membership::LiveMembers(aState.mMembership)) {
    if (member->mEpoch == start_epoch(0)) {
      missing.insert(member->mId); // listed, but never heard
    } else {
      live.insert({ member->mId, member->mEpoch });
    }
  }
  for (const auto& run : settings::Unconfirmed(aState.mEnforcement, live, aRevision)) {
    missing.insert(run.mId);
  }
  // Random gossip takes minutes to meet every peer, so the missing ones are asked; the answers are
  // there at the next call.
  std::vector<instance_id> asked(missing.begin(), missing.end());
  std::erase(asked, aState.mSelf.mId);
  Apply(aState, settings::Probe(aState.mPropagation, asked, kProbesPerCall, aNow), aNow, aOut);
  json names = json::array();
  for (const instance_id& id : missing) {
    names.push_back(id.Value());
  }
  return { { "revision", aRevision.Value() }, { "unconfirmed", names } };
}

} // namespace tamarackweir::control::internal
