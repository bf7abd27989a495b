/**
 * SECTION: store_keys
 * @title: Keys
 *
 * Names of flintrack's rows in the key-value store. They are shared with every other version
 * that runs on the same store: a key is never given another meaning.
 */
#pragma once
#include <glib.h>

/* Rows of leadership. */
#define FT_KEY_FENCE "l/fence"
#define FT_KEY_RENEWAL "l/renewal"
#define FT_KEY_JOURNAL "l/journal"
/* The operators' settings. */
#define FT_KEY_SETTINGS "s/settings"

/* Prefixes by which groups of rows are listed or watched. */
#define FT_PREFIX_LEASE "l/"
#define FT_PREFIX_OPEN "o/"
#define FT_PREFIX_DONE "d/"
#define FT_PREFIX_REGISTRY "m/"
#define FT_PREFIX_DRAINED "a/"

/**
 * ft_key_job:
 * @ref: a job's ref
 *
 * Returns: (transfer full): the key of the job's state row, kept for ever.
 */
char *ft_key_job (const char *ref);

/**
 * ft_key_open:
 * @ref: a job's ref
 *
 * Returns: (transfer full): the key of the row that an open job has in the index of open jobs.
 */
char *ft_key_open (const char *ref);

/**
 * ft_key_cancellation:
 * @ref: a job's ref
 *
 * Returns: (transfer full): the key of the row that says that the open job is cancelled. It sorts
 * after the job's own row, so that a list brings the job first.
 */
char *ft_key_cancellation (const char *ref);

/**
 * ft_key_chunk:
 * @ref: a job's ref
 * @chunk: number of the chunk, from 0
 *
 * Returns: (transfer full): the key of a chunk of the job's finished tasks.
 */
char *ft_key_chunk (const char *ref, guint chunk);

/**
 * ft_key_registry:
 * @row: name of a row of the machine registry
 *
 * Returns: (transfer full): the key of that row.
 */
char *ft_key_registry (const char *row);

/**
 * ft_key_drained:
 * @machine: a machine's name
 *
 * Returns: (transfer full): the key of the row that says that an operator has drained it.
 */
char *ft_key_drained (const char *machine);

/**
 * ft_key_open_ref:
 * @key: any key
 * @cancelled: (out): whether it is the key of a cancellation; set only if a ref is returned
 *
 * Returns: (transfer full) (nullable): the job's ref, or %NULL if the key is neither that of an
 * open job nor that of a cancellation.
 */
char *ft_key_open_ref (const char *key, gboolean *cancelled);

/**
 * ft_key_chunk_parse:
 * @key: any key
 * @ref: (out) (transfer full): the job's ref
 * @chunk: (out): number of the chunk
 *
 * Returns: %FALSE, with nothing set, if the key is not that of a chunk.
 */
gboolean ft_key_chunk_parse (const char *key, char **ref, guint *chunk);

/**
 * ft_key_drained_name:
 * @key: any key
 *
 * Returns: (transfer none) (nullable): the drained machine's name, a part of @key, or %NULL if the
 * key is not that of a drain.
 */
const char *ft_key_drained_name (const char *key);
