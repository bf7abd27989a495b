/**
 * SECTION: write_batch
 * @title: The leader's batch of writes
 *
 * Turns the writes that the scheduler has pending (core/scheduler.h) into changes of one
 * transaction, and finds in a refusal the job whose row had changed. Used by src/net/leader.c.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/scheduler.h"

/**
 * ft_txn_add_write:
 * @txn: the transaction of the batch
 * @write: a pending write
 * @wall_ms: wall time at which the batch is sent, in milliseconds since 1970; the time at which
 *   a job that it ends has ended
 */
void ft_txn_add_write (json_t *txn, const FtWrite *write, gint64 wall_ms);

/**
 * ft_store_conflicted_job:
 * @body: the answer to a batch that was refused
 * @writes: (element-type FtWrite): the batch's writes
 *
 * Returns: (transfer none) (nullable): ref of the first job among the writes whose row was not at
 * the expected revision, borrowed from its write.
 */
const char *ft_store_conflicted_job (const json_t *body, const GPtrArray *writes);
