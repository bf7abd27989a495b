#include "core/machine.h"

#include "core/job.h"

/* Names of the states that operators see. */
static const char *const names[] = { "booting", "up", "silent", "returning", "gone" };

void
ft_machine_queues_init (FtMachineQueues *queues)
{
  g_queue_init (&queues->direct_requests);
  g_queue_init (&queues->probes);
  g_queue_init (&queues->terminating);
}

void
ft_machine_queues_clear (FtMachineQueues *queues)
{
  g_queue_clear (&queues->direct_requests);
  g_queue_clear (&queues->probes);
  g_queue_clear (&queues->terminating);
}

FtAttempt *
ft_machine_attempt (const FtMachine *machine, const char *ref, guint index, guint64 id)
{
  const FtAttempt key = { .id = id, .index = index, .job_ref = (char *) ref };
  return g_hash_table_lookup (machine->attempts, &key);
}

FtMachine *
ft_machine_new (FtCoreContext *context, FtMachineQueues *queues, const char *name, const char *addr, const char *type,
                const char *zone, gboolean spot)
{
  FtMachine *machine = g_new0 (FtMachine, 1);
  machine->context = context;
  machine->queues = queues;
  machine->name = g_strdup (name);
  machine->addr = g_strdup (addr);
  machine->type_name = g_strdup (type);
  machine->zone = g_strdup (zone);
  machine->spot = spot;
  machine->type = ft_catalog_find (context->catalog, type);
  machine->launched_at = machine->idle_since = context->now;
  machine->worker_token.current = context->first_worker_token;
  machine->attempts = g_hash_table_new_full (ft_attempt_hash, ft_attempt_equal, NULL, (GDestroyNotify) ft_attempt_free);
  machine->images = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return machine;
}

void
ft_machine_set_reconciled (FtMachine *machine)
{
  if (machine->reconciled)
    return;
  machine->reconciled = TRUE;
  machine->context->placement_due = TRUE;
}

void
ft_machine_queue_direct_request (FtMachine *machine)
{
  if (machine->requests.direct_request_queued || machine->state == FT_MACHINE_GONE)
    return;
  machine->requests.direct_request_queued = TRUE;
  g_queue_push_tail (&machine->queues->direct_requests, machine);
}

void
ft_machine_queue_probe (FtMachine *machine)
{
  if (machine->requests.probe_queued || machine->state == FT_MACHINE_GONE)
    return;
  machine->requests.probe_queued = TRUE;
  g_queue_push_tail (&machine->queues->probes, machine);
}

void
ft_machine_free (FtMachine *machine)
{
  if (machine->requests.probe_queued)
    g_queue_remove (&machine->queues->probes, machine);
  if (machine->requests.direct_request_queued)
    g_queue_remove (&machine->queues->direct_requests, machine);
  g_hash_table_unref (machine->attempts);
  g_hash_table_unref (machine->images);
  g_free (machine->name);
  g_free (machine->addr);
  g_free (machine->type_name);
  g_free (machine->zone);
  g_free (machine);
}

const char *
ft_machine_state_name (FtMachineState state)
{
  return names[state];
}

gboolean
ft_machine_set_state (FtMachine *machine, FtMachineState to, const char *reason)
{
  FtMachineState from = machine->state;
  if (from == to)
    return TRUE;
  /* A machine in TERMINATING can only become GONE, and GONE is final. */
  if (from == FT_MACHINE_GONE || (from == FT_MACHINE_TERMINATING && to != FT_MACHINE_GONE)
      || to == FT_MACHINE_BOOTING) {
    g_warning ("machine %s: refused move %s -> %s (%s)", machine->name, names[from], names[to], reason);
    return FALSE;
  }
  g_message ("machine %s: %s -> %s (%s)", machine->name, names[from], names[to], reason);
  machine->state = to;
  if (from == FT_MACHINE_TERMINATING)
    g_queue_remove (&machine->queues->terminating, machine);
  if (to == FT_MACHINE_TERMINATING)
    g_queue_push_tail (&machine->queues->terminating, machine);
  return TRUE;
}

void
ft_machine_terminate (FtMachine *machine, const char *reason)
{
  ft_machine_set_state (machine, FT_MACHINE_TERMINATING, reason);
  machine->requests.return_at = machine->context->now;
}

void
ft_machine_set_addr (FtMachine *machine, const char *addr)
{
  if (g_strcmp0 (machine->addr, addr) == 0)
    return;
  g_free (machine->addr);
  machine->addr = g_strdup (addr);
}

gboolean
ft_machine_should_report (const FtMachine *machine)
{
  return machine->state == FT_MACHINE_UP || machine->state == FT_MACHINE_SILENT;
}

gboolean
ft_machine_set_quarantined (FtMachine *machine, FtQuarantineReason reason, gboolean quarantined)
{
  FtMachineFitness *fitness = &machine->fitness;
  if (((fitness->quarantine & reason) != 0) == quarantined)
    return FALSE;
  fitness->quarantine ^= reason;
  machine->context->placement_due = TRUE;
  return TRUE;
}

gboolean
ft_machine_is_quarantined (const FtMachine *machine)
{
  return machine->fitness.quarantine != 0;
}

/* Returns the reason in the machine's fitness or in what the cloud has announced. */
static FtUnusedReason
reason_unfit (const FtMachine *machine)
{
  const FtMachineFitness *fitness = &machine->fitness;
  if (fitness->drained)
    return FT_UNUSED_DRAINED;
  if (fitness->quarantine & FT_QUARANTINED_FAULTY)
    return FT_UNUSED_FAULTY;
  if (fitness->quarantine & FT_QUARANTINED_START_IN_DOUBT)
    return FT_UNUSED_START_IN_DOUBT;
  return machine->notice_until != 0 ? FT_UNUSED_NOTICE : FT_UNUSED_NONE;
}

/* Returns the reason in what this leader knows about the machine. */
static FtUnusedReason
reason_incomplete (const FtMachine *machine)
{
  if (!machine->reconciled)
    return FT_UNUSED_UNRECONCILED;
  if (machine->state != FT_MACHINE_UP)
    return FT_UNUSED_NOT_UP;
  if (!machine->registered)
    return FT_UNUSED_UNREGISTERED;
  return machine->type == NULL ? FT_UNUSED_TYPE_UNKNOWN : FT_UNUSED_NONE;
}

/* Returns the reason in the messages between the machine and this leader. */
static FtUnusedReason
reason_unreachable (const FtMachine *machine)
{
  if (machine->incarnation <= machine->expired_incarnation)
    return FT_UNUSED_EXPIRED;
  if (!machine->reachability.acknowledged_token)
    return FT_UNUSED_TOKEN_UNSEEN;
  if (ft_machine_not_receiving (machine))
    return FT_UNUSED_NOT_RECEIVING;
  if (ft_machine_not_reporting (machine))
    return FT_UNUSED_NOT_REPORTING;
  return ft_reachability_recent (&machine->reachability, machine->context) ? FT_UNUSED_NONE : FT_UNUSED_OVERDUE;
}

FtUnusedReason
ft_machine_unused_reason (const FtMachine *machine)
{
  FtUnusedReason reason = reason_unfit (machine);
  if (reason == FT_UNUSED_NONE)
    reason = reason_incomplete (machine);
  return reason == FT_UNUSED_NONE ? reason_unreachable (machine) : reason;
}

gboolean
ft_machine_usable (const FtMachine *machine)
{
  return ft_machine_unused_reason (machine) == FT_UNUSED_NONE;
}

gboolean
ft_machine_not_receiving (const FtMachine *machine)
{
  return ft_reachability_not_receiving (&machine->reachability);
}

gboolean
ft_machine_not_reporting (const FtMachine *machine)
{
  return machine->state == FT_MACHINE_UP && ft_reachability_not_reporting (&machine->reachability, machine->context);
}

gboolean
ft_machine_allowed (const FtMachine *machine, const FtJobSpec *spec)
{
  if (machine->spot && !spec->spot)
    return FALSE;
  if (spec->types != NULL && !g_strv_contains ((const char *const *) spec->types, machine->type_name))
    return FALSE;
  return spec->zone == NULL || g_strcmp0 (spec->zone, machine->zone) == 0;
}

/* Returns how many tasks fit that take `each` of a resource of which `free_amount` is left. */
static guint
tasks_that_fit (double free_amount, double each)
{
  if (each <= 0)
    return G_MAXUINT16;
  return free_amount <= 0 ? 0 : (guint) MIN (free_amount / each + 1e-6, G_MAXUINT16);
}

guint
ft_machine_room (const FtMachine *machine, const FtJobSpec *spec)
{
  const FtMachineType *type = machine->type;
  if (type == NULL)
    return 0;
  guint n = tasks_that_fit (type->cpus - machine->cpus, spec->cpus);
  n = MIN (n, tasks_that_fit (type->memory_gb - machine->memory_gb, spec->memory_gb));
  return MIN (n, tasks_that_fit (type->gpus - machine->gpus, spec->gpus));
}

gboolean
ft_machine_has_request_in_flight (const FtMachine *machine)
{
  return machine->requests.command_in_flight || machine->requests.return_in_flight;
}

gboolean
ft_machine_idle (const FtMachine *machine)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    /* A finished task also needs its machine until its result is committed. */
    if (!ft_attempt_has_exited (attempt) || (attempt->job != NULL && attempt->bound))
      return FALSE;
  }
  return TRUE;
}
