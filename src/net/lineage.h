/* What users' requests need to know of the jobs that a job needs. */
#pragma once
#include "net/node.h"

typedef enum {
  FT_NEEDS_ACCEPTED,
  FT_NEEDS_MISSING, /* one of them was never accepted */
  FT_NEEDS_UNREAD,  /* the state service did not tell */
} FtNeedsResult;
/* `missing`: one that was never accepted, else NULL; borrowed. */
typedef void (*FtNeedsDone) (FtNeedsResult result, const char *missing, gpointer data);

/* Whether all these jobs were accepted, by any controller: as the state service says, unless
 * this one has read so before. */
void ft_needs_check (FtNode *node, const char *const *needs, FtNeedsDone done, gpointer data);

typedef enum {
  FT_LINEAGE_OPEN,
  FT_LINEAGE_CANCELLED, /* something that it needs, directly or through others, is cancelled */
  FT_LINEAGE_UNREAD,
} FtLineageResult;
typedef void (*FtLineageDone) (FtLineageResult result, gpointer data);

/* Whether an open job can still run. Read from committed rows, not from what a leader has
 * cleaned up: a cancellation is told on time also while nobody leads. An answer may rest on
 * rows read up to FT_LINEAGE_FRESH of cancel_s ago. */
void ft_lineage_check (FtNode *node, const char *ref, FtLineageDone done, gpointer data);
