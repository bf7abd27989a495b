/**
 * SECTION: machine_rows
 * @title: Rows of machines
 *
 * Encodes and decodes the rows of the machine registry. The registry lists each machine that may have
 * been sent commands. A new leader waits for these machines before it starts their tasks on other
 * machines. A row holds several machines, so that one write stores them all. The leader reads the
 * rows during recovery; write_batch.c writes them.
 *
 * The row of a drained machine has an empty value, because its key (see store_keys.h) contains the
 * machine's name.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/scheduler.h"
#include "wire/store_messages.h"

/**
 * ft_row_machines:
 * @machines: (element-type FtListedMachine): the machines of one row; their state and age are not
 *   written
 *
 * Returns: (transfer full): the value of the registry row.
 */
json_t *ft_row_machines (const GArray *machines);

/**
 * ft_row_machine_parse:
 * @scheduler: the leader's scheduler; receives each machine that can be decoded
 * @row: a row of the machine registry
 *
 * Decodes a registry row and loads its machines into the scheduler.
 *
 * Returns: %TRUE on success; %FALSE if the key is not that of a registry row or any machine of the
 * row is malformed. The valid machines of a partly malformed row are loaded.
 */
gboolean ft_row_machine_parse (FtScheduler *scheduler, const FtRow *row);
