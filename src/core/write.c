#include "core/write.h"

FtWrite *
ft_write_new (FtWriteKind kind, const char *name)
{
  FtWrite *write = g_new0 (FtWrite, 1);
  write->kind = kind;
  write->name = g_strdup (name);
  return write;
}

void
ft_write_free (FtWrite *write)
{
  g_free (write->name);
  if (write->machines != NULL)
    g_array_unref (write->machines);
  g_free (write->bits);
  g_free (write);
}

guint
ft_write_ops (const FtWrite *write)
{
  switch (write->kind) {
  case FT_WRITE_JOB_DONE:
  case FT_WRITE_JOB_STOPPED:
  case FT_WRITE_JOB_CANCELLED:
    return 2; /* the job's row in the index of open jobs, and its state row or the row of its cancellation */
  default:
    return 1;
  }
}
