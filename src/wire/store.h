/**
 * SECTION: store
 * @title: Key-value store
 *
 * Umbrella header for flintrack's rows in the key-value store (the "state service" of the protocol)
 * and for the store's messages. It declares nothing itself; code that needs only one part may include
 * the header of that part.
 *
 * Rows, by key (see store_keys.h):
 *
 *   l/fence          fence row: fencing token, holder and the holder's incarnation; only an
 *                    acquisition of the lease changes it
 *   l/renewal        renewal row: lease time, and whether the lease is released; every acquisition,
 *                    renewal and release changes it
 *   l/journal        journal row: number of the leader's last batch of writes; each batch is
 *                    conditional on it, so that a delayed batch cannot be applied
 *   j/REF            state row of a job: open, done or cancelled; never deleted
 *   o/REF            open row of a job: the job as submitted, with its dependencies and its dispatch
 *                    watermark (see FtJobSpec in core/types.h)
 *   o/REF/w          cancellation row of a job; deleted when all tasks of the job have stopped
 *   d/REF/CHUNK      chunk row: a chunk of the bitmap of a job's finished tasks
 *   m/ROW            row of the machine registry: machines that may have been sent commands
 *   a/NAME           row of a machine that an operator has drained
 *   s/settings       settings row: the operators' settings; the revision of the row is the
 *                    version of the settings
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
