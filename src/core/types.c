#include "core/types.h"

double
ft_team_limit (double maximum)
{
  return maximum > 0 ? maximum : G_MAXDOUBLE;
}

FtCatalog *
ft_catalog_new (void)
{
  FtCatalog *catalog = g_new0 (FtCatalog, 1);
  catalog->types = g_ptr_array_new_with_free_func ((GDestroyNotify) ft_machine_type_free);
  catalog->refs = 1;
  return catalog;
}

FtCatalog *
ft_catalog_ref (FtCatalog *catalog)
{
  catalog->refs++;
  return catalog;
}

void
ft_catalog_unref (FtCatalog *catalog)
{
  if (catalog == NULL || --catalog->refs > 0)
    return;
  g_ptr_array_unref (catalog->types);
  g_free (catalog);
}

const FtMachineType *
ft_catalog_find (const FtCatalog *catalog, const char *name)
{
  for (guint i = 0; catalog != NULL && i < catalog->types->len; i++) {
    const FtMachineType *type = g_ptr_array_index (catalog->types, i);
    if (g_strcmp0 (type->name, name) == 0)
      return type;
  }
  return NULL;
}

void
ft_machine_type_free (FtMachineType *type)
{
  g_free (type->name);
  g_strfreev (type->zones);
  g_free (type);
}

void
ft_job_spec_free (FtJobSpec *spec)
{
  if (spec == NULL)
    return;
  g_free (spec->ref);
  g_free (spec->job_class);
  g_free (spec->team);
  g_free (spec->image);
  g_free (spec->zone);
  g_strfreev (spec->types);
  g_strfreev (spec->dependencies);
  g_free (spec);
}

static void
task_status_clear (FtTaskStatus *task)
{
  g_free (task->job);
}

FtWorkerHeartbeat *
ft_worker_heartbeat_new (void)
{
  FtWorkerHeartbeat *heartbeat = g_new0 (FtWorkerHeartbeat, 1);
  heartbeat->notice_s = -1;
  heartbeat->tasks = g_array_new (FALSE, TRUE, sizeof (FtTaskStatus));
  g_array_set_clear_func (heartbeat->tasks, (GDestroyNotify) task_status_clear);
  return heartbeat;
}

void
ft_worker_heartbeat_free (FtWorkerHeartbeat *heartbeat)
{
  if (heartbeat == NULL)
    return;
  g_free (heartbeat->machine);
  g_free (heartbeat->addr);
  g_free (heartbeat->type);
  g_free (heartbeat->zone);
  g_array_unref (heartbeat->tasks);
  g_free (heartbeat);
}

static void
command_clear (FtCommand *command)
{
  g_free (command->job);
}

GArray *
ft_commands_new (void)
{
  GArray *commands = g_array_new (FALSE, TRUE, sizeof (FtCommand));
  g_array_set_clear_func (commands, (GDestroyNotify) command_clear);
  return commands;
}

static void
listed_clear (FtListedMachine *listed)
{
  g_free (listed->name);
  g_free (listed->addr);
  g_free (listed->type);
  g_free (listed->zone);
}

GArray *
ft_listed_new (void)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (FtListedMachine));
  g_array_set_clear_func (list, (GDestroyNotify) listed_clear);
  return list;
}
