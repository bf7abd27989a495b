/* What users' requests need to know of the jobs that a job needs, directly or through others.
 *
 * It is read from committed rows, not from what a leader has cleaned up: a cancellation is told
 * on time also while nobody leads. An answer may rest on rows read up to FT_LINEAGE_FRESH of
 * cancel_s ago. */
#pragma once
#include "net/node.h"

/* In the order in which one outweighs another: a job that was never accepted is found
 * whatever else is. */
typedef enum {
  FT_LINEAGE_OPEN,
  FT_LINEAGE_CANCELLED, /* one of them is cancelled, and all that were named were accepted */
  FT_LINEAGE_UNREAD,    /* the state service did not tell */
  FT_LINEAGE_MISSING,   /* one of them was never accepted */
} FtLineageResult;
/* `ref`: the job that is cancelled or missing, else NULL; borrowed. */
typedef void (*FtLineageDone) (FtLineageResult result, const char *ref, gpointer data);

/* The jobs that a submission names, and what these need. */
void ft_lineage_check_needs (FtNode *node, const char *const *needs, FtLineageDone done, gpointer data);
/* An accepted job whose own row is open as of now. */
void ft_lineage_check (FtNode *node, const char *ref, FtLineageDone done, gpointer data);
