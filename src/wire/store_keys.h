/**
 * SECTION: store_keys
 * @title: Keys
 *
 * The keys of flintrack's rows in the key-value store. Controllers of several versions may use the
 * same store, so no key may change its meaning. See store.h for the list of rows.
 */
#pragma once
#include <glib.h>

/* Key of the fence row. */
#define FT_KEY_FENCE "l/fence"
/* Key of the renewal row. */
#define FT_KEY_RENEWAL "l/renewal"
/* Key of the journal row. */
#define FT_KEY_JOURNAL "l/journal"
/* Key of the settings row, which holds the operators' settings. */
#define FT_KEY_SETTINGS "s/settings"

/* Prefix of the keys of the fence row, the renewal row and the journal row. */
#define FT_PREFIX_LEASE "l/"
/* Prefix of the keys of open rows and cancellation rows. */
#define FT_PREFIX_OPEN "o/"
/* Prefix of the keys of chunk rows, which hold the bitmaps of the finished tasks of jobs. */
#define FT_PREFIX_DONE "d/"
/* Prefix of the keys of the machine registry's rows. */
#define FT_PREFIX_REGISTRY "m/"
/* Prefix of the keys of the rows of drained machines. */
#define FT_PREFIX_DRAINED "a/"

/**
 * ft_key_job:
 * @ref: a job's ref
 *
 * Returns: (transfer full): the key of the job's state row.
 */
char *ft_key_job (const char *ref);

/**
 * ft_key_open:
 * @ref: a job's ref
 *
 * Returns: (transfer full): the key of the job's open row.
 */
char *ft_key_open (const char *ref);

/**
 * ft_key_cancellation:
 * @ref: a job's ref
 *
 * Returns: (transfer full): the key of the job's cancellation row. This key sorts after the key of the
 * job's open row, so that a list request returns the job before its cancellation.
 */
char *ft_key_cancellation (const char *ref);

/**
 * ft_key_chunk:
 * @ref: a job's ref
 * @chunk: number of the chunk, from 0
 *
 * Returns: (transfer full): the key of the chunk row, which holds one chunk of the bitmap of the
 * job's finished tasks.
 */
char *ft_key_chunk (const char *ref, guint chunk);

/**
 * ft_key_registry:
 * @row: name of a row of the machine registry
 *
 * Returns: (transfer full): the key of the registry row.
 */
char *ft_key_registry (const char *row);

/**
 * ft_key_drained:
 * @machine: a machine's name
 *
 * Returns: (transfer full): the key of the row that exists while the machine is drained.
 */
char *ft_key_drained (const char *machine);

/**
 * ft_key_open_ref:
 * @key: any key
 * @cancelled: (out): whether @key is the key of a cancellation row; set only if a ref is returned
 *
 * Decodes the key of an open row or of a cancellation row.
 *
 * Returns: (transfer full) (nullable): the job's ref, or %NULL if @key is the key of another row.
 */
char *ft_key_open_ref (const char *key, gboolean *cancelled);

/**
 * ft_key_chunk_parse:
 * @key: any key
 * @ref: (out) (transfer full): the job's ref
 * @chunk: (out): number of the chunk, from 0
 *
 * Decodes the key of a chunk row.
 *
 * Returns: %TRUE on success; %FALSE, with @ref and @chunk unchanged, if @key is not the key of a chunk
 * row.
 */
gboolean ft_key_chunk_parse (const char *key, char **ref, guint *chunk);

/**
 * ft_key_drained_name:
 * @key: any key
 *
 * Returns: (transfer none) (nullable): the name of the drained machine, borrowed from @key; %NULL if
 * @key is not the key of the row of a drained machine.
 */
const char *ft_key_drained_name (const char *key);
