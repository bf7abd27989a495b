/**
 * SECTION: machine_rows
 * @title: Rows of machines
 *
 * The machine registry's rows: machines that may have been sent commands, so that a new leader
 * waits for them before it starts their tasks elsewhere. Each row holds several machines, so that
 * one write covers them. Read by src/net/leader.c during recovery, written by write_batch.c.
 * A drained machine's row has an empty value; its key (store_keys.h) says all.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/scheduler.h"
#include "wire/store_messages.h"

/**
 * ft_row_machines:
 * @machines: (element-type FtListedMachine): the machines of one row; name, address, type, zone
 *   and spot are written
 *
 * Returns: (transfer full): the value of the registry row.
 */
json_t *ft_row_machines (const GArray *machines);

/**
 * ft_row_machine_parse:
 * @scheduler: where each machine that could be read is loaded
 * @row: a registry row
 *
 * Returns: %FALSE if the key is not that of a registry row, or if any of its machines could not
 * be read; the others have been loaded all the same.
 */
gboolean ft_row_machine_parse (FtScheduler *scheduler, const FtRow *row);
