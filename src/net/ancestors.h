/* What users' requests need to know of the jobs that a job needs, directly or through others.
 *
 * It is read from committed rows, not from what a leader has cleaned up: a cancellation is told
 * on time also while nobody leads. An answer may rest on rows read up to FT_ANCESTORS_FRESH of
 * cancel_s ago. */
#pragma once
#include "net/node.h"

/* In the order in which one outweighs another: a job that was never accepted is found
 * whatever else is. */
typedef enum {
  FT_ANCESTORS_OPEN,
  FT_ANCESTORS_CANCELLED, /* one of them is cancelled, and all that were named were accepted */
  FT_ANCESTORS_UNREAD,    /* the state service did not tell */
  FT_ANCESTORS_MISSING,   /* one of them was never accepted */
} FtAncestorsResult;
/* `ref`: the job that is cancelled or missing, else NULL; borrowed. */
typedef void (*FtAncestorsDone) (FtAncestorsResult result, const char *ref, gpointer data);

/* The jobs that a submission names, and what these need. */
void ft_ancestors_check_named (FtNode *node, const char *const *dependencies, FtAncestorsDone done, gpointer data);
/* An accepted job whose own row is open as of now. */
void ft_ancestors_check (FtNode *node, const char *ref, FtAncestorsDone done, gpointer data);
