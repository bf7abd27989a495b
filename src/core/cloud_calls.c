#include "core/cloud_calls.h"

#include "core/machine_log.h"

void
ft_cloud_call_free (FtCloudCall *call)
{
  if (call == NULL)
    return;
  g_free (call->idempotency_key);
  g_free (call->type);
  g_free (call->zone);
  if (call->names != NULL)
    g_ptr_array_unref (call->names);
  g_free (call);
}

static FtCloudCall *
call_new (FtCloudOp op)
{
  FtCloudCall *call = g_new0 (FtCloudCall, 1);
  call->op = op;
  call->names = g_ptr_array_new_with_free_func (g_free);
  return call;
}

/* Whether to return the machine now. A leader without a valid lease returns only machines that may hold cancelled
 * tasks. Such tasks must end within cancel_s, and a hung machine cannot stop them. This is safe without the lease,
 * since a return starts no task and is idempotent: a successor may return the same machines again. */
static gboolean
may_return_now (const FtMachineEviction *eviction, const FtMachine *machine)
{
  const FtCoreContext *context = eviction->context;
  return !machine->requests.return_in_flight && machine->requests.return_at <= context->now
         && (context->may_start || ft_machine_eviction_may_hold_cancelled (eviction, machine));
}

static FtCloudCall *
next_return (const FtMachineEviction *eviction)
{
  FtCloudCall *call = NULL;
  const FtMachineQueues *queues = eviction->machine_table->queues;
  for (GList *link = queues->terminating.head; link != NULL; link = link->next) {
    FtMachine *machine = link->data;
    eviction->context->examined_count++;
    if (!may_return_now (eviction, machine))
      continue;
    if (call == NULL)
      call = call_new (FT_CLOUD_SCALE_IN);
    if (call->names->len == FT_SCALE_IN_MAX)
      break;
    machine->requests.return_in_flight = TRUE;
    g_ptr_array_add (call->names, g_strdup (machine->name));
  }
  return call;
}

static FtCloudCall *
next_launch (FtCloudPools *pools, gint64 now)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, pools->pools);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtCloudPool *pool = value;
    if (pool->request != FT_LAUNCH_REQUEST_PENDING || pool->send_at > now)
      continue;
    ft_cloud_pool_request_sent (pool);
    FtCloudCall *call = call_new (FT_CLOUD_SCALE_OUT);
    call->idempotency_key = g_strdup (pool->idempotency_key);
    call->type = g_strdup (pool->type);
    call->zone = g_strdup (pool->zone);
    call->spot = pool->spot;
    call->count = pool->requested;
    return call;
  }
  return NULL;
}

FtCloudCall *
ft_cloud_calls_next (const FtMachineEviction *eviction, FtCloudPools *pools)
{
  FtCloudCall *call = next_return (eviction);
  if (call != NULL || !eviction->context->may_start)
    return call;
  return next_launch (pools, eviction->context->now);
}

static void
add_launched (FtMachineTable *table, const FtCloudPool *pool, const FtCloudCall *call)
{
  for (guint i = 0; i < call->names->len; i++) {
    const char *name = g_ptr_array_index (call->names, i);
    if (ft_machine_table_find (table, name) != NULL || ft_machine_table_is_gone (table, name))
      continue;
    FtMachine *machine = ft_machine_table_add (table, name, NULL, pool->type, pool->zone, pool->spot);
    ft_machine_set_reconciled (machine); /* the machine has never been sent a command */
    g_message ("machine %s: added (launched by request %s)", name, call->idempotency_key);
  }
}

gboolean
ft_cloud_calls_launch_done (FtMachineTable *table, FtCloudPools *pools, const FtCloudCall *call, FtCloudResult result)
{
  gint64 now = table->context->now;
  FtCloudPool *pool = ft_cloud_pools_get (pools, call->type, call->zone, call->spot);
  if (g_strcmp0 (pool->idempotency_key, call->idempotency_key) != 0)
    return FALSE;
  if (result == FT_CLOUD_UNANSWERED) {
    ft_cloud_pool_request_unanswered (pool, now + ft_seconds (FT_LAUNCH_RETRY_S));
    return TRUE;
  }
  if (result == FT_CLOUD_OK)
    add_launched (table, pool, call);
  if (result == FT_CLOUD_REFUSED || call->names->len < pool->requested)
    ft_cloud_pool_refused (pool, now);
  ft_cloud_pool_request_answered (pool);
  return TRUE;
}

void
ft_cloud_calls_return_done (FtMachineTable *table, const FtCloudCall *call, FtCloudResult result)
{
  for (guint i = 0; i < call->names->len; i++) {
    FtMachine *machine = ft_machine_table_find (table, g_ptr_array_index (call->names, i));
    if (machine == NULL)
      continue;
    ft_machine_log_return (machine, result);
    machine->requests.return_in_flight = FALSE;
    machine->requests.return_at = table->context->now + ft_seconds (FT_TERMINATE_RETRY_S);
  }
}
