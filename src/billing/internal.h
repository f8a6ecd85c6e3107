#pragma once

#include "billing/billing.h"

namespace tamarackweir::billing::internal {

/// Convert a record, without its origin, to and from its wire form.
packed_record Pack(const record& aRecord);
record Unpack(const packed_record& aPacked, const origin_id& aOrigin);

/// Returns a new operation id.
operation_id NextOperation(state& aState);

/// Sends the copies that are due, and requeues those without an acknowledgement in time.
void SendDueCopies(state& aState, time_point aNow, actions& aOut);

/// Releases the answers whose copy timed out, up to the bound on records at risk.
void ReleaseOverdueAnswers(state& aState, time_point aNow, actions& aOut);

/// Marks a record as copied or stored, and releases its answer if that is still held.
void MarkSecured(state& aState, sequence_number aSequence, own_record& aRecord, actions& aOut);

/// Forms a batch of own records when due, and writes the batch and the watermark.
void SettleRecords(state& aState, time_point aNow, actions& aOut);

/// Reads the watermarks of removed or silent origins and writes the copies of removed ones.
void RecoverCopies(state& aState, time_point aNow, actions& aOut);

/// Discards held copies up to and including `aLast`.
void DiscardCopies(state& aState, held_copies& aHeld, sequence_number aLast);

/// Writes a batch if it is due; a write in flight is repeated after its timeout.
void WriteBatch(state& aState, settlement_batch& aBatch, time_point aNow, actions& aOut);

/// Reports to all holders which records are settled, so that they discard those copies.
void ReportSettled(state& aState, time_point aNow, actions& aOut);

} // namespace tamarackweir::billing::internal
