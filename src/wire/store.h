/**
 * SECTION: store
 * @title: Key-value store
 *
 * Umbrella header of everything flintrack keeps in the key-value store (the "state service" of
 * the protocol) and of the messages by which it is read and changed. It declares nothing itself:
 * code that needs one part only may include that part's header.
 *
 * Rows, by key (see store_keys.h):
 *
 *   l/fence          fencing token, holder and its incarnation; changed by acquisitions only
 *   l/renewal        changed by every renewal of the lease; says whether it has been released
 *   l/journal        number of the leader's last batch of writes; each batch is conditional on
 *                    it, so that a delayed batch can never be applied
 *   j/REF            a job's state: open, done or cancelled; never deleted
 *   o/REF            an open job as submitted, with its dependencies and its dispatch watermark
 *   o/REF/w          exists once that open job is cancelled
 *   d/REF/CHUNK      a chunk of the bitmap of an open job's finished tasks
 *   m/ROW            a row of the machine registry: machines that may have been sent commands
 *   a/NAME           a machine that an operator has drained
 *   s/settings       the operators' settings; the row's revision is their version
 */
#pragma once
#include "wire/job_rows.h"
#include "wire/job_transactions.h"
#include "wire/lease_rows.h"
#include "wire/machine_rows.h"
#include "wire/scheduler_rows.h"
#include "wire/settings_row.h"
#include "wire/store_keys.h"
#include "wire/store_messages.h"
#include "wire/write_batch.h"
