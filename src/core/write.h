/* A write that the leader owes the key-value store: one row, or the rows that change together.
 *
 * Passive values. The registry and the write queue make them; the node's store client puts a batch
 * of them into one transaction that is conditional on the leader's fencing token, and reports
 * whether it was committed. */
#pragma once
#include "core/types.h"

typedef enum {
  FT_WRITE_REGISTRY_ROW,        /* a row of the machine registry, with its machines */
  FT_WRITE_REGISTRY_ROW_DELETE, /* the same, empty */
  FT_WRITE_DRAIN_DELETE,        /* an operator's drain of a machine that is gone */
  FT_WRITE_WATERMARK,           /* a job's row with its raised dispatch watermark */
  FT_WRITE_CHUNK,               /* a chunk of a job's done-set */
  FT_WRITE_CHUNK_DELETE,
  FT_WRITE_JOB_DONE,      /* conditional on the job's revision */
  FT_WRITE_JOB_STOPPED,   /* all tasks of a cancelled job are gone */
  FT_WRITE_JOB_CANCELLED, /* a job that it depends on is cancelled; conditional on its revision */
} FtWriteKind;

typedef struct {
  FtWriteKind kind;
  char *name;       /* job, registry row or machine */
  GArray *machines; /* FtListedMachine, of a registry row; else NULL */
  guint chunk, tasks;
  guint watermark;
  const FtJobSpec *spec; /* of FT_WRITE_WATERMARK; borrowed until the scheduler is called again */
  guint64 revision;      /* of the job's row, as the leader knows it */
  char *bits;            /* of a chunk: its done tasks, a bitmap in base64 */
} FtWrite;

/* A write of that kind; copies the name. The rest is filled in by the caller. */
FtWrite *ft_write_new (FtWriteKind kind, const char *name);
/* Frees a write, not the spec that it borrows. */
void ft_write_free (FtWrite *write);

/* How many changes the write makes in its transaction. */
guint ft_write_ops (const FtWrite *write);
