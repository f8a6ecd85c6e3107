#include "peer/message.h"

#include "base/digest.h"
#include "base/error.h"
#include "base/overloaded.h"
#include "peer/messages.pb.h"

namespace tamarackweir::peer {

namespace {

/// Half of an HMAC-SHA256; RFC 2104 allows truncation to half the length.
constexpr std::size_t kMacBytes = 16;

std::int64_t Micros(duration aDuration)
{
  return aDuration.count();
}

void Write(const capacity::credit_id& aId, wire::credit_id& aOut)
{
  aOut.set_requester(aId.mRequester.Value());
  aOut.set_requester_epoch(aId.mRequesterEpoch.Value());
  aOut.set_number(aId.mNumber.Value());
}

capacity::credit_id Read(const wire::credit_id& aId)
{
  return { instance_id(aId.requester()), start_epoch(aId.requester_epoch()),
           capacity::credit_number(aId.number()) };
}

void Write(const membership::gossip_message& aGossip, wire::gossip& aOut)
{
  aOut.set_leaving(aGossip.mLeaving);
  aOut.set_probe(aGossip.mProbe);
  aOut.set_answer_to(aGossip.mAnswerTo);
  aOut.set_digest(aGossip.mDigest);
  for (const auto& [key, version, payload, age] : aGossip.mRumours) {
    wire::rumour& rumour = *aOut.add_rumours();
    rumour.set_kind(static_cast<std::uint32_t>(key.mKind));
    rumour.set_subject(key.mSubject);
    rumour.set_epoch(key.mEpoch.Value());
    rumour.set_version(version);
    rumour.set_payload(payload);
    rumour.set_age_ms(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
  }
}

membership::gossip_message Read(const wire::gossip& aGossip, const message& aMessage)
{
  membership::gossip_message result{ .mSender = aMessage.mSender,
                                     .mEpoch = aMessage.mEpoch,
                                     .mHead = {},
                                     .mLeaving = aGossip.leaving(),
                                     .mProbe = aGossip.probe(),
                                     .mAnswerTo = aGossip.answer_to(),
                                     .mDigest = aGossip.digest(),
                                     .mRumours = {} };
  for (const wire::rumour& rumour : aGossip.rumours()) {
    if (rumour.kind() > static_cast<std::uint32_t>(membership::rumour_kind::Evidence)) {
      continue; // a newer instance's kind
    }
    result.mRumours.push_back({ { static_cast<membership::rumour_kind>(rumour.kind()),
                                  rumour.subject(), start_epoch(rumour.epoch()) },
                                rumour.version(),
                                rumour.payload(),
                                std::chrono::milliseconds(rumour.age_ms()) });
  }
  return result;
}

void Write(const settings::revision_gossip& aGossip, wire::revision_gossip& aOut)
{
  aOut.set_held(aGossip.mHeld.Value());
  if (aGossip.mConfirmationAge) {
    aOut.set_confirmation_age_us(Micros(*aGossip.mConfirmationAge));
  }
  if (aGossip.mReadAge) {
    aOut.set_read_age_us(Micros(*aGossip.mReadAge));
  }
  aOut.set_store_reachable(aGossip.mStoreReachable);
  aOut.set_probe(aGossip.mProbe.Value());
  aOut.set_is_answer(aGossip.mIsAnswer);
}

settings::revision_gossip Read(const wire::revision_gossip& aGossip, const message& aMessage)
{
  settings::revision_gossip result{ .mSender = { aMessage.mSender, aMessage.mEpoch },
                                    .mHeld = revision(aGossip.held()),
                                    .mConfirmationAge = {},
                                    .mReadAge = {},
                                    .mStoreReachable = aGossip.store_reachable(),
                                    .mProbe = settings::probe_id(aGossip.probe()),
                                    .mIsAnswer = aGossip.is_answer() };
  if (aGossip.has_confirmation_age_us()) {
    result.mConfirmationAge = duration(aGossip.confirmation_age_us());
  }
  if (aGossip.has_read_age_us()) {
    result.mReadAge = duration(aGossip.read_age_us());
  }
  return result;
}

void Write(const quarantine::server_incarnation& aCrash, wire::crash& aOut)
{
  aOut.set_server(aCrash.mServer.Value());
  aOut.set_epoch(aCrash.mEpoch.Value());
}

quarantine::server_incarnation Read(const wire::crash& aCrash)
{
  return { server_id(aCrash.server()), start_epoch(aCrash.epoch()) };
}

void Write(const quarantine::report& aReport, wire::suspect_report& aOut)
{
  std::map<quarantine::fingerprint, wire::suspect> suspects;
  for (const auto& [fingerprint, crashes] : aReport.mCrashes) {
    for (const auto& crash : crashes) {
      Write(crash, *suspects[fingerprint].add_crashes());
    }
  }
  for (const auto& [fingerprint, crashes] : aReport.mCleared) {
    for (const auto& crash : crashes) {
      Write(crash, *suspects[fingerprint].add_cleared());
    }
  }
  for (const auto& fingerprint : aReport.mQuarantined) {
    suspects[fingerprint].set_quarantined(true);
  }
  aOut.set_sequence(aReport.mSequence);
  for (auto& [fingerprint, suspect] : suspects) {
    suspect.set_account(fingerprint.mAccount.Value());
    suspect.set_digest(fingerprint.mDigest);
    *aOut.add_suspects() = suspect;
  }
}

quarantine::report Read(const wire::suspect_report& aReport, const message& aMessage)
{
  quarantine::report result{ .mFrom = aMessage.mSender,
                             .mSequence = aReport.sequence(),
                             .mCrashes = {},
                             .mCleared = {},
                             .mQuarantined = {} };
  for (const wire::suspect& suspect : aReport.suspects()) {
    const quarantine::fingerprint fingerprint{ account_id(suspect.account()), suspect.digest() };
    for (const wire::crash& crash : suspect.crashes()) {
      result.mCrashes[fingerprint].insert(Read(crash));
    }
    for (const wire::crash& crash : suspect.cleared()) {
      result.mCleared[fingerprint].insert(Read(crash));
    }
    if (suspect.quarantined()) {
      result.mQuarantined.insert(fingerprint);
    }
  }
  return result;
}

void WritePart(const part& aPart, wire::part& aOut)
{
  std::visit(
    overloaded{
      [&](const membership::gossip_message& aGossip) { Write(aGossip, *aOut.mutable_gossip()); },
      [&](const settings::revision_gossip& aGossip) {
        Write(aGossip, *aOut.mutable_revision_gossip());
      },
      [&](const revision_fetch& aFetch) {
        aOut.mutable_revision_fetch()->set_revision(aFetch.mRevision.Value());
        aOut.mutable_revision_fetch()->set_held(aFetch.mHeld.Value());
      },
      [&](const revision_content& aContent) {
        wire::revision_content& content = *aOut.mutable_revision_content();
        content.set_revision(aContent.mRevision.Value());
        content.set_base(aContent.mBase.Value());
        content.set_content(aContent.mContent);
      },
      [&](const billing::copy_batch& aBatch) { aOut.set_bill_copies(billing::EncodeCopy(aBatch)); },
      [&](const billing::copy_ack& aAck) { aOut.set_bill_ack(billing::EncodeAck(aAck)); },
      [&](const capacity::credit_ask& aAsk) {
        wire::credit_ask& ask = *aOut.mutable_credit_ask();
        Write(aAsk.mId, *ask.mutable_id());
        ask.set_server(aAsk.mServer.Value());
        ask.set_max_run_us(Micros(aAsk.mMaxRun));
      },
      [&](const capacity::credit_answer& aAnswer) {
        wire::credit_answer& answer = *aOut.mutable_credit_answer();
        Write(aAnswer.mId, *answer.mutable_id());
        answer.set_server(aAnswer.mServer.Value());
        answer.set_granted(aAnswer.mGranted);
        answer.set_lease(aAnswer.mFencingNumber.Value());
        answer.set_holder(aAnswer.mHolder.Value());
        answer.set_retry_after_us(Micros(aAnswer.mRetryAfter));
      },
      [&](const capacity::credit_release& aRelease) {
        Write(aRelease.mId, *aOut.mutable_credit_release()->mutable_id());
        aOut.mutable_credit_release()->set_server(aRelease.mServer.Value());
      },
      [&](const capacity::credit_release_ack& aAck) {
        Write(aAck.mId, *aOut.mutable_credit_release_ack()->mutable_id());
        aOut.mutable_credit_release_ack()->set_server(aAck.mServer.Value());
      },
      [&](const quarantine::report& aReport) { Write(aReport, *aOut.mutable_suspect_report()); },
      [&](const quarantine::report_ack& aAck) { aOut.set_suspect_ack(aAck.mSequence); },
    },
    aPart);
}

/// Appends the part to the message; kinds of a newer build are left out.
void ReadPart(const wire::part& aPart, message& aMessage)
{
  std::vector<part>& parts = aMessage.mParts;
  switch (aPart.kind_case()) {
    case wire::part::kGossip:
      parts.emplace_back(Read(aPart.gossip(), aMessage));
      break;
    case wire::part::kRevisionGossip:
      parts.emplace_back(Read(aPart.revision_gossip(), aMessage));
      break;
    case wire::part::kRevisionFetch:
      parts.emplace_back(revision_fetch{ revision(aPart.revision_fetch().revision()),
                                         revision(aPart.revision_fetch().held()) });
      break;
    case wire::part::kRevisionContent:
      parts.emplace_back(revision_content{ revision(aPart.revision_content().revision()),
                                           revision(aPart.revision_content().base()),
                                           aPart.revision_content().content() });
      break;
    case wire::part::kBillCopies:
      parts.emplace_back(billing::DecodeCopy(aPart.bill_copies()));
      break;
    case wire::part::kBillAck:
      parts.emplace_back(billing::DecodeAck(aPart.bill_ack()));
      break;
    case wire::part::kCreditAsk:
      parts.emplace_back(capacity::credit_ask{ Read(aPart.credit_ask().id()),
                                               server_id(aPart.credit_ask().server()),
                                               duration(aPart.credit_ask().max_run_us()) });
      break;
    case wire::part::kCreditAnswer: {
      const wire::credit_answer& answer = aPart.credit_answer();
      parts.emplace_back(
        capacity::credit_answer{ .mId = Read(answer.id()),
                                 .mServer = server_id(answer.server()),
                                 .mGranted = answer.granted(),
                                 .mFencingNumber = fencing_number(answer.lease()),
                                 .mHolder = instance_id(answer.holder()),
                                 .mRetryAfter = duration(answer.retry_after_us()) });
      break;
    }
    case wire::part::kCreditRelease:
      parts.emplace_back(capacity::credit_release{ Read(aPart.credit_release().id()),
                                                   server_id(aPart.credit_release().server()) });
      break;
    case wire::part::kCreditReleaseAck:
      parts.emplace_back(capacity::credit_release_ack{
        Read(aPart.credit_release_ack().id()), server_id(aPart.credit_release_ack().server()) });
      break;
    case wire::part::kSuspectReport:
      parts.emplace_back(Read(aPart.suspect_report(), aMessage));
      break;
    case wire::part::kSuspectAck:
      parts.emplace_back(quarantine::report_ack{ aMessage.mSender, aPart.suspect_ack() });
      break;
    case wire::part::KIND_NOT_SET:
      break;
  }
}

} // namespace

std::string Seal(const message& aMessage, std::string_view aKey)
{
  wire::envelope envelope;
  envelope.set_sender(aMessage.mSender.Value());
  envelope.set_sender_epoch(aMessage.mEpoch.Value());
  envelope.set_reply_to(aMessage.mReplyTo);
  for (const part& entry : aMessage.mParts) {
    WritePart(entry, *envelope.add_parts());
  }
  wire::sealed sealed;
  sealed.set_payload(envelope.SerializeAsString());
  sealed.set_mac(HmacSha256(aKey, sealed.payload()).substr(0, kMacBytes));
  return sealed.SerializeAsString();
}

message Open(std::string_view aBytes, std::string_view aKey)
{
  wire::sealed sealed;
  wire::envelope envelope;
  if (!sealed.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    throw error(error_kind::InvalidInput, "a message between instances is malformed",
                "check that only instances connect to the peer port");
  }
  if (!EqualConstantTime(sealed.mac(), HmacSha256(aKey, sealed.payload()).substr(0, kMacBytes))) {
    throw error(error_kind::NotAllowed, "a message between instances has a wrong HMAC",
                "give all instances the same peer key file");
  }
  if (!envelope.ParseFromString(sealed.payload())) {
    throw error(error_kind::InvalidInput, "the content of a message between instances is malformed",
                "check that all instances run compatible versions");
  }
  message result{
    instance_id(envelope.sender()), start_epoch(envelope.sender_epoch()), envelope.reply_to(), {}
  };
  for (const wire::part& entry : envelope.parts()) {
    ReadPart(entry, result);
  }
  return result;
}

} // namespace tamarackweir::peer
