/* A write that the leader has to make to the key-value store: a change of one row, or changes of rows that belong
 * together.
 *
 * Writes are plain records. The registry and the write queue create them. The node's store client puts a batch of them
 * into one transaction, which is conditional on the leader's fence row, and reports whether it was committed. */
#pragma once
#include "core/types.h"

typedef enum {
  FT_WRITE_REGISTRY_ROW,        /* writes a row of the machine registry with its machines */
  FT_WRITE_REGISTRY_ROW_DELETE, /* deletes a row of the machine registry that names no machine any more */
  FT_WRITE_DRAIN_DELETE,        /* deletes the row of an operator's drain, since the drained machine is gone */
  FT_WRITE_WATERMARK,           /* writes a job's row in the index of open jobs with a raised dispatch watermark */
  FT_WRITE_CHUNK,               /* writes a chunk of a job's done-set */
  FT_WRITE_CHUNK_DELETE,        /* deletes a chunk of the done-set of a job that ended */
  FT_WRITE_JOB_DONE,            /* ends a job whose tasks are all done; conditional on the revision of its state row */
  FT_WRITE_JOB_STOPPED,         /* ends a cancelled job whose tasks have all stopped */
  FT_WRITE_JOB_CANCELLED, /* ends a job as cancelled, since a dependency is cancelled; conditional on the revision of
                             its state row */
} FtWriteKind;

typedef struct {
  FtWriteKind kind;
  char *name;            /* ref of the job, id of the registry row or name of the machine */
  GArray *machines;      /* FtListedMachine, owned: the machines that a registry row names; else NULL */
  guint chunk;           /* index of the chunk in the job's done-set */
  guint tasks;           /* number of tasks of a job that ends */
  guint watermark;       /* the dispatch watermark to write */
  const FtJobSpec *spec; /* for FT_WRITE_WATERMARK: the job's spec, borrowed until the next call of the scheduler */
  guint64 revision;      /* revision of the job's state row, as the leader knows it */
  char *bits;            /* for FT_WRITE_CHUNK: the done tasks of the chunk as a bitmap in base64, owned */
} FtWrite;

/* Returns a write of that kind with a copy of the name. The caller fills in the other fields. */
FtWrite *ft_write_new (FtWriteKind kind, const char *name);
/* Frees a write, but not the spec that it borrows. */
void ft_write_free (FtWrite *write);

/* Returns the number of changes that the write makes in its transaction. */
guint ft_write_ops (const FtWrite *write);
