#include "core/autoscaler.h"

#include <math.h>

#include "core/fault.h"
#include "core/scheduler_private.h"

/* One place to rent from: a type in a zone, spot or ordinary. */
typedef struct {
  const char *type, *zone; /* interned */
  gboolean spot;
  gint64 refused_until;
  guint asked;   /* in the request under way */
  char *booking; /* of the request under way or to repeat; NULL if none */
  gboolean in_flight;
  gint64 retry_at;
} FtPool;

static void
pool_free (FtPool *pool)
{
  g_free (pool->booking);
  g_free (pool);
}

GHashTable *
ft_autoscaler_pools_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) pool_free);
}

static FtPool *
get_pool (FtScheduler *scheduler, const char *type, const char *zone, gboolean spot)
{
  g_autofree char *key = g_strdup_printf ("%s/%s/%d", type, zone, spot);
  FtPool *pool = g_hash_table_lookup (scheduler->autoscaler.pools, key);
  if (pool == NULL) {
    pool = g_new0 (FtPool, 1);
    pool->type = g_intern_string (type);
    pool->zone = g_intern_string (zone);
    pool->spot = spot;
    g_hash_table_insert (scheduler->autoscaler.pools, g_steal_pointer (&key), pool);
  }
  return pool;
}

/* ---- demand ---- */

/* Machines wanted of a type, for jobs with the same constraints. */
typedef struct {
  const FtMachineType *type;
  const char *zone; /* NULL: any */
  gboolean spot;
  double machines;
  gboolean blocked; /* a job found no room at all */
} Demand;

static guint
per_machine (const FtMachineType *type, const FtJobSpec *spec)
{
  double n = type->cpus / MAX (spec->cpus, 1e-6);
  if (spec->memory_gb > 0)
    n = MIN (n, type->memory_gb / spec->memory_gb);
  if (spec->gpus > 0)
    n = MIN (n, type->gpus / spec->gpus);
  return (guint) MIN (n + 1e-6, G_MAXUINT16);
}

/* The allowed type on which a task of the job costs least. */
static const FtMachineType *
cheapest_type (const FtScheduler *scheduler, const FtJobSpec *spec)
{
  const FtMachineType *best = NULL;
  double best_price = INFINITY;
  for (guint i = 0; i < scheduler->context.catalog->types->len; i++) {
    const FtMachineType *type = g_ptr_array_index (scheduler->context.catalog->types, i);
    guint n = per_machine (type, spec);
    if (n == 0 || (spec->types != NULL && !g_strv_contains ((const char *const *) spec->types, type->name)))
      continue;
    if (spec->zone != NULL && !g_strv_contains ((const char *const *) type->zones, spec->zone))
      continue;
    double price = (spec->spot ? type->spot_price : type->price) / n;
    if (price < best_price) {
      best_price = price;
      best = type;
    }
  }
  return best;
}

static void
add_demand (GArray *dependencies, const FtMachineType *type, const char *zone, gboolean spot, double machines,
            gboolean blocked)
{
  for (guint i = 0; i < dependencies->len; i++) {
    Demand *dependency = &g_array_index (dependencies, Demand, i);
    if (dependency->type == type && dependency->spot == spot && g_strcmp0 (dependency->zone, zone) == 0) {
      dependency->machines += machines;
      dependency->blocked |= blocked;
      return;
    }
  }
  Demand dependency = { type, zone, spot, machines, blocked };
  g_array_append_val (dependencies, dependency);
}

/* How many of a job's tasks one place can run after each other in time: what has
 * time until its deadline needs fewer machines. Urgent work waits for none. */
static double
waves (const FtScheduler *scheduler, const FtJob *job, const FtMachineType *type)
{
  const FtJobSpec *spec = job->spec;
  if (job->deadline_at == 0 || job->priority >= FT_PRIORITY_HIGH || spec->estimate_s <= 0)
    return 1;
  double left = (double) (job->deadline_at - scheduler->context.now) / FT_SECOND - spec->estimate_s - type->boot_s;
  return 1 + MAX (0, left) / spec->estimate_s;
}

static GArray *
find_demand (FtScheduler *scheduler)
{
  GArray *dependencies = g_array_new (FALSE, TRUE, sizeof (Demand));
  guint n_teams = scheduler->context.settings->n_teams;
  g_autofree double *room = g_new0 (double, n_teams);
  for (guint t = 0; t < n_teams; t++)
    room[t] = ft_team_limit (scheduler->quota.teams[t].limit->cpus_max) - scheduler->quota.teams[t].cpus;
  for (guint i = 0; i < scheduler->placement.order->len; i++) {
    const FtJob *job = g_ptr_array_index (scheduler->placement.order, i);
    guint t = (guint) (job->team - scheduler->quota.teams);
    double tasks = job->counts[FT_TASK_QUEUED];
    if (job->spec->cpus > 0)
      tasks = MIN (tasks, room[t] / job->spec->cpus);
    const FtMachineType *type = tasks > 0 ? cheapest_type (scheduler, job->spec) : NULL;
    if (type == NULL)
      continue;
    room[t] -= tasks * job->spec->cpus;
    add_demand (dependencies, type, job->spec->zone, job->spec->spot,
                tasks / per_machine (type, job->spec) / waves (scheduler, job, type),
                job->no_room_pass == scheduler->placement.pass);
  }
  // NOLINTNEXTLINE(clang-analyzer-unix.Malloc): freed by g_auto cleanup, which the analyzer does not follow
  return dependencies;
}

static gboolean
serves (const FtMachine *machine, const Demand *dependency)
{
  return machine->type == dependency->type && (dependency->spot || !machine->spot)
         && (dependency->zone == NULL || g_strcmp0 (dependency->zone, machine->zone) == 0);
}

/* Share of the machine that is free, by its scarcest resource. */
static double
free_share (const FtMachine *machine)
{
  double used = MAX (machine->cpus / machine->type->cpus, machine->memory_gb / machine->type->memory_gb);
  return MAX (0, 1 - used);
}

typedef struct {
  double up, free, in_use;
  double booting;
} Supply;

static Supply
find_supply (FtScheduler *scheduler, const Demand *dependency)
{
  Supply supply = { 0 };
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *machine = value;
    if (machine->type == NULL || (dependency != NULL && !serves (machine, dependency)))
      continue;
    if (machine->state == FT_MACHINE_BOOTING) {
      /* Listed as running but never heard from: probably gone already. */
      supply.booting += machine->listed_running || machine->zone_view->unreachable ? 0 : 1;
    } else if (ft_machine_usable (scheduler, machine)) {
      supply.up += 1;
      supply.free += free_share (machine);
      supply.in_use += 1 - free_share (machine);
    }
  }
  /* Requests under way count as machines that will boot. */
  g_hash_table_iter_init (&it, scheduler->autoscaler.pools);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtPool *pool = value;
    if (dependency == NULL
        || (g_strcmp0 (pool->type, dependency->type->name) == 0 && (dependency->spot || !pool->spot)))
      supply.booting += pool->booking != NULL ? pool->asked : 0;
  }
  return supply;
}

/* Share of what is in use to keep idle. */
static double
headroom (const FtScheduler *scheduler)
{
  double boot = 0;
  for (guint i = 0; i < scheduler->context.catalog->types->len; i++)
    boot = MAX (boot, ((const FtMachineType *) g_ptr_array_index (scheduler->context.catalog->types, i))->boot_s);
  return boot * scheduler->context.tuning.headroom_per_boot_s;
}

static guint
machines_in (const FtScheduler *scheduler, const FtPool *pool)
{
  guint n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *machine = value;
    n += machine->spot == pool->spot && g_strcmp0 (machine->zone, pool->zone) == 0
         && g_strcmp0 (machine->type_name, pool->type) == 0;
  }
  return n;
}

/* The cheapest pool that has not refused of late; among equals the emptiest,
 * so that a wave that takes one zone's spot machines takes few of ours. */
/* TRUE if one more spot machine keeps within the operators' share. */
static gboolean
spot_allowed (const FtScheduler *scheduler)
{
  guint spot = 0, all = 0;
  GHashTableIter it;
  gpointer value;
  if (scheduler->context.tuning.spot_share >= 1)
    return TRUE;
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *machine = value;
    if (machine->state == FT_MACHINE_GONE || machine->state == FT_MACHINE_TERMINATING)
      continue;
    all++;
    spot += machine->spot;
  }
  return spot + 1 <= scheduler->context.tuning.spot_share * (all + 1);
}

static FtPool *
best_pool (FtScheduler *scheduler, const Demand *dependency)
{
  FtPool *best = NULL;
  double best_cost = INFINITY;
  gboolean spot_ok = dependency->spot && spot_allowed (scheduler);
  for (guint z = 0; dependency->type->zones != NULL && dependency->type->zones[z] != NULL; z++) {
    const char *zone = dependency->type->zones[z];
    if (dependency->zone != NULL && g_strcmp0 (zone, dependency->zone) != 0)
      continue;
    for (int spot = spot_ok ? 1 : 0; spot >= 0; spot--) {
      FtPool *pool = get_pool (scheduler, dependency->type->name, zone, spot);
      if (pool->booking != NULL || pool->refused_until > scheduler->context.now
          || ft_zone_launchable (ft_zone_get (scheduler->machine_table.zones, zone), scheduler->context.now) == 0)
        continue;
      double cost = (spot ? dependency->type->spot_price : dependency->type->price) * FT_POOL_PRICE_WEIGHT
                    + machines_in (scheduler, pool);
      if (cost < best_cost) {
        best_cost = cost;
        best = pool;
      }
    }
  }
  return best;
}

static void
scale_out (FtScheduler *scheduler, const Demand *dependency, guint count)
{
  FtPool *pool = best_pool (scheduler, dependency);
  if (pool == NULL || count == 0)
    return;
  FtZone *zone = ft_zone_get (scheduler->machine_table.zones, pool->zone);
  pool->asked = MIN (MIN (count, FT_SCALE_OUT_MAX), ft_zone_launchable (zone, scheduler->context.now));
  ft_zone_launched (zone, scheduler->context.now);
  if (pool->spot && scheduler->context.tuning.spot_share < 1)
    pool->asked = 1; /* one at a time, to keep within the share */
  /* The token makes the name unique for ever: no other leadership has it. */
  pool->booking = g_strdup_printf ("flintrack-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, scheduler->context.token,
                                   scheduler->autoscaler.next_booking++);
  pool->retry_at = scheduler->context.now;
  g_message ("rental %s: %u %s in %s%s", pool->booking, pool->asked, pool->type, pool->zone, pool->spot ? " spot" : "");
}

/* TRUE if a job of this need has found no room for a while. */
static gboolean
blocked_long (const FtScheduler *scheduler, const Demand *dependency)
{
  for (guint i = 0; i < scheduler->placement.order->len; i++) {
    const FtJob *job = g_ptr_array_index (scheduler->placement.order, i);
    if (job->no_room_pass == scheduler->placement.pass && job->spec->spot == dependency->spot
        && g_strcmp0 (job->spec->zone, dependency->zone) == 0
        && scheduler->context.now - job->ready_at > (gint64) (dependency->type->boot_s * FT_SECOND))
      return TRUE;
  }
  return FALSE;
}

/* The most wanted machine type gets the idle reserve. */
static void
plan_scale_out (FtScheduler *scheduler)
{
  g_autoptr (GArray) dependencies = find_demand (scheduler);
  for (guint i = 0; i < dependencies->len; i++) {
    const Demand *dependency = &g_array_index (dependencies, Demand, i);
    Supply supply = find_supply (scheduler, dependency);
    double reserve = headroom (scheduler) * supply.in_use;
    double want = dependency->machines + reserve - supply.free - supply.booting;
    /* A small rest waits for room to come free, unless none can come: the one
     * small job of a site without a machine must get one too. */
    gboolean stuck
        = dependency->blocked && supply.booting < 1 && (supply.in_use <= 0 || blocked_long (scheduler, dependency));
    if (want > FT_SCALE_OUT_FROM || stuck)
      scale_out (scheduler, dependency, (guint) MAX (1, ceil (want)));
  }
}

/* ---- returns ---- */

static void
terminate (FtScheduler *scheduler, FtMachine *machine, const char *why)
{
  g_message ("machine %s: to be returned (%s)", machine->name, why);
  ft_machine_set_state (machine, FT_MACHINE_TERMINATING);
  machine->terminate_at = scheduler->context.now;
}

static gboolean
boot_failed (const FtScheduler *scheduler, const FtMachine *machine)
{
  double boot = machine->type != NULL ? machine->type->boot_s : FT_BOOT_UNKNOWN_S;
  gint64 limit = (gint64) ((boot * FT_BOOT_FACTOR + FT_BOOT_PLUS_S) * FT_SECOND);
  return machine->state == FT_MACHINE_BOOTING && scheduler->context.now - machine->launched_at > limit;
}

/* The store has been seen since the zone was heard last: it is the zone that is cut off. */
static gboolean
zone_alone_lost (const FtScheduler *scheduler, const FtZone *zone)
{
  gint64 silent_since = MAX (zone->last_heard, scheduler->context.loaded_at);
  return scheduler->context.cancellations_known_until > silent_since + (gint64) (FT_ZONE_STORE_SEEN_S * FT_SECOND);
}

/* A controller that is itself cut off must not return a healthy fleet: silence
 * counts against a machine only while the store and most others are heard, and only
 * a few machines are given up within a window, unless their whole zone is
 * unreachable. Machines that do not receive count like silent ones. */
static gboolean
may_give_up (FtScheduler *scheduler, const FtMachine *machine, guint up, guint lost)
{
  if (scheduler->context.now - scheduler->autoscaler.silent_window_at
      > (gint64) (FT_SILENT_SCALE_IN_WINDOW_S * FT_SECOND)) {
    scheduler->autoscaler.silent_window_at = scheduler->context.now;
    scheduler->autoscaler.silent_terminated = 0;
  }
  guint most = MAX (FT_SILENT_SCALE_IN_MIN, (guint) (FT_SILENT_SCALE_IN_SHARE * (up + lost)));
  gint64 long_silent = (gint64) (2 * scheduler->context.settings->lease_s * FT_SECOND);
  if (scheduler->context.now - scheduler->context.cancellations_known_until
      > (gint64) (FT_GIVE_UP_STORE_SEEN_S * FT_SECOND))
    return FALSE;
  if (lost > up && scheduler->context.now - ft_machine_no_heartbeat_since (scheduler, machine) <= long_silent)
    return FALSE;
  if (machine->zone_view->unreachable)
    return zone_alone_lost (scheduler, machine->zone_view);
  return scheduler->autoscaler.silent_terminated < most;
}

static gboolean
not_receiving_long (const FtScheduler *scheduler, const FtMachine *machine)
{
  /* A controller that is late itself answers too late: that is not the machine's. */
  return machine->state == FT_MACHINE_UP && ft_machine_not_receiving (machine)
         && scheduler->context.now - MAX (machine->not_receiving_since, scheduler->context.on_time_since)
                > (gint64) (FT_NOT_RECEIVING_SCALE_IN_S * FT_SECOND);
}

/* Its lease has run out, and so will the next. */
static gboolean
not_reporting_long (const FtScheduler *scheduler, const FtMachine *machine)
{
  return ft_machine_not_reporting (scheduler, machine)
         && scheduler->context.now - ft_machine_no_heartbeat_since (scheduler, machine)
                > ft_machine_lease_us (scheduler);
}

/* Why a machine is of no use, and may be given up; NULL: it is of use. */
static const char *
why_lost (const FtScheduler *scheduler, const FtMachine *machine)
{
  if (machine->state == FT_MACHINE_SILENT)
    return "silent";
  if (not_receiving_long (scheduler, machine))
    return "does not hear us";
  return not_reporting_long (scheduler, machine) ? "reaches no controller" : NULL;
}

static void
count_heard (FtScheduler *scheduler, guint *up, guint *lost)
{
  GHashTableIter it;
  gpointer value;
  *up = *lost = 0;
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *machine = value;
    gboolean heard = machine->state == FT_MACHINE_UP && !ft_machine_not_receiving (machine)
                     && !ft_machine_not_reporting (scheduler, machine);
    *up += heard;
    *lost += !heard && (machine->state == FT_MACHINE_UP || machine->state == FT_MACHINE_SILENT);
  }
}

/* What a user has cancelled must be gone in time, on a silent machine too. */
static gboolean
holds_cancelled (const FtMachine *machine)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    if (attempt->reserved && attempt->job != NULL && attempt->job->state == FT_JOB_CANCELLING)
      return TRUE;
  }
  return FALSE;
}

/* The age of the oldest cancellation of which tasks may run unseen; 0: none. */
static gint64
unseen_cancellation_age (const FtScheduler *scheduler)
{
  gint64 age = 0;
  GHashTableIter it;
  gpointer value;
  if (ft_recovery_is_done (&scheduler->recovery))
    return 0;
  g_hash_table_iter_init (&it, scheduler->job_table.jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtJob *job = value;
    if (job->state == FT_JOB_CANCELLING && job->counts[FT_TASK_UNKNOWN] > 0)
      age = MAX (age, scheduler->context.now - job->cancelled_at);
  }
  return age;
}

/* A cancellation as old as that leaves no time to wait for the machine. */
static gboolean
pressing (const FtScheduler *scheduler, gint64 age)
{
  return age > (gint64) (FT_CANCELLED_SCALE_IN_SHARE * scheduler->context.settings->cancel_s * FT_SECOND);
}

/* What an unreconciled machine holds nobody knows, and without the store nobody knows what
 * was cancelled. Given back for that alone, a cut zone would go with each cancellation:
 * not before half of the time is over. */
static gboolean
may_hold_cancelled (const FtScheduler *scheduler, const FtMachine *machine)
{
  return holds_cancelled (machine)
         || (!machine->reconciled && pressing (scheduler, scheduler->autoscaler.unseen_cancellation_us))
         || (scheduler->autoscaler.store_unreachable && !ft_machine_idle (machine));
}

static gboolean
cloud_answers (const FtScheduler *scheduler)
{
  return scheduler->context.cloud_answered_at > 0
         && scheduler->context.now - scheduler->context.cloud_answered_at < (gint64) (FT_CLOUD_SEEN_S * FT_SECOND);
}

/* Any task may have been cancelled since the store was seen last, and one on a machine
 * that hangs outlives its lease. A leader that is cut off itself hears few machines and
 * no cloud, and must not give back, late, what its successor uses. */
static gboolean
is_store_unreachable (const FtScheduler *scheduler, guint up, guint lost)
{
  return pressing (scheduler, scheduler->context.now - scheduler->context.cancellations_known_until)
         && (FT_STORE_UNREACHABLE_HEARD_RATIO * lost <= up || cloud_answers (scheduler));
}

/* A cancelled task whose direct start got no answer may still start, late, as
 * long as the machine's incarnation lasts: such a machine is emptied and returned. */
static double
doubt_age (const FtScheduler *scheduler, const FtMachine *machine, gboolean *others)
{
  double age = 0;
  GHashTableIter it;
  gpointer value;
  *others = FALSE;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    gboolean doubt = attempt->direct_unanswered && !attempt->shown && !attempt->exited && attempt->stop_wanted;
    if (doubt)
      age = MAX (age, (double) (scheduler->context.now - attempt->placed_at) / FT_SECOND);
    else
      *others |= !attempt->exited || attempt->bound;
  }
  return age;
}

static gboolean
in_doubt (const FtScheduler *scheduler, FtMachine *machine)
{
  gboolean others;
  if (!machine->in_doubt)
    return FALSE; /* nearly all: their attempts need no look */
  double age = doubt_age (scheduler, machine, &others);
  if (age > FT_DOUBT_S)
    machine->quarantined = TRUE; /* no more starts */
  return age > FT_DOUBT_S && (!others || age > FT_DOUBT_MAX * scheduler->context.settings->cancel_s);
}

static void
give_up_machines (FtScheduler *scheduler)
{
  guint up, lost;
  GHashTableIter it;
  gpointer value;
  count_heard (scheduler, &up, &lost);
  scheduler->autoscaler.unseen_cancellation_us = unseen_cancellation_age (scheduler);
  scheduler->autoscaler.store_unreachable = is_store_unreachable (scheduler, up, lost);
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *machine = value;
    if (machine->state == FT_MACHINE_TERMINATING || machine->state == FT_MACHINE_GONE)
      continue;
    const char *lost_why = why_lost (scheduler, machine);
    gint64 taken = machine->notice_until + (gint64) (FT_NOTICE_MARGIN_S * FT_SECOND);
    if (machine->notice_until > 0 && scheduler->context.now > taken
        && machine->last_status_at < machine->notice_until) {
      terminate (scheduler, machine, "taken by the cloud");
    } else if (lost_why != NULL
               && (may_hold_cancelled (scheduler, machine) || may_give_up (scheduler, machine, up, lost))) {
      scheduler->autoscaler.silent_terminated += !machine->zone_view->unreachable;
      terminate (scheduler, machine, lost_why);
    } else if (boot_failed (scheduler, machine)) {
      terminate (scheduler, machine, "did not come up");
    } else if (in_doubt (scheduler, machine)) {
      terminate (scheduler, machine, "a withdrawn start in doubt");
    } else if (machine->quarantined && machine->reconciled && ft_fault_proven (machine) && ft_machine_idle (machine)) {
      /* What ran before it became faulty may well complete. */
      terminate (scheduler, machine, "faulty");
    }
  }
}

static gboolean
terminable (const FtScheduler *scheduler, const FtMachine *machine)
{
  double idle_s = machine->spot ? scheduler->context.tuning.idle_spot_s : scheduler->context.tuning.idle_ordinary_s;
  return ft_machine_usable (scheduler, machine) && ft_machine_idle (machine)
         && scheduler->context.now - machine->idle_since > (gint64) (idle_s * FT_SECOND)
         && scheduler->context.now - machine->launched_at > (gint64) (FT_LEAST_CHARGED_S * FT_SECOND)
         && !machine->command_in_flight;
}

/* Ordinary machines first, they cost more; among equals the longest idle. */
static gint
worst_first (gconstpointer a, gconstpointer b)
{
  const FtMachine *machine = *(FtMachine *const *) a, *y = *(FtMachine *const *) b;
  if (machine->spot != y->spot)
    return machine->spot ? 1 : -1;
  return machine->idle_since < y->idle_since ? -1 : machine->idle_since > y->idle_since;
}

static void
scale_in_idle (FtScheduler *scheduler)
{
  Supply supply = find_supply (scheduler, NULL);
  /* One machine stands by while there is work, none on a site without any. */
  double standby = g_hash_table_size (scheduler->job_table.jobs) > 0 ? 1 : 0;
  double spare = supply.free - headroom (scheduler) * supply.in_use - standby;
  if (spare < 1)
    return;
  g_autoptr (GPtrArray) idle = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (terminable (scheduler, value))
      g_ptr_array_add (idle, value);
  g_ptr_array_sort (idle, worst_first);
  for (guint i = 0; i < idle->len && spare >= 1; i++, spare--)
    terminate (scheduler, g_ptr_array_index (idle, i), "idle");
}

/* After a takeover the fleet is known once all reports have had their time; a few
 * machines that nobody can account for must not keep others from being launched. */
static gboolean
machines_known (const FtScheduler *scheduler)
{
  double heartbeats = scheduler->context.settings->heartbeat_s * FT_HEARTBEAT_GAP + FT_WORKER_TIMEOUT_S;
  return ft_recovery_is_done (&scheduler->recovery)
         || scheduler->context.now - scheduler->context.took_over_at > (gint64) (heartbeats * FT_SECOND);
}

/* Counts the time for which spot machines have been up. */
static void
observe_spot (FtScheduler *scheduler)
{
  guint up = 0;
  GHashTableIter it;
  gpointer value;
  if (scheduler->autoscaler.spot_observed_at > 0) {
    g_hash_table_iter_init (&it, scheduler->machine_table.machines);
    while (g_hash_table_iter_next (&it, NULL, &value)) {
      const FtMachine *machine = value;
      up += machine->spot && machine->state == FT_MACHINE_UP;
    }
    ft_spot_risk_observe (&scheduler->autoscaler.spot_risk, up,
                          (double) (scheduler->context.now - scheduler->autoscaler.spot_observed_at) / FT_SECOND);
  }
  scheduler->autoscaler.spot_observed_at = scheduler->context.now;
}

void
ft_autoscaler_tick (FtScheduler *scheduler)
{
  give_up_machines (scheduler);
  if (!scheduler->context.may_start || scheduler->context.now < scheduler->autoscaler.next_autoscale
      || !machines_known (scheduler))
    return;
  scheduler->autoscaler.next_autoscale = scheduler->context.now + (gint64) (FT_AUTOSCALE_EVERY_S * FT_SECOND);
  observe_spot (scheduler);
  plan_scale_out (scheduler);
  scale_in_idle (scheduler);
}

/* ---- calls ---- */

void
ft_cloud_call_free (FtCloudCall *call)
{
  if (call == NULL)
    return;
  g_free (call->booking);
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

/* A leader that has lost the store gives back only what holds cancelled tasks: they
 * must be gone in time, and a machine that hangs cannot drop them. That is no placing,
 * and a successor that returns the same machines again changes nothing. */
static FtCloudCall *
next_scale_in (FtScheduler *scheduler)
{
  FtCloudCall *call = NULL;
  for (GList *link = scheduler->autoscaler.terminating.head; link != NULL; link = link->next) {
    FtMachine *machine = link->data;
    scheduler->context.looked_at++;
    if (machine->terminate_in_flight || machine->terminate_at > scheduler->context.now
        || (!scheduler->context.may_start && !may_hold_cancelled (scheduler, machine)))
      continue;
    if (call == NULL)
      call = call_new (FT_CLOUD_SCALE_IN);
    if (call->names->len == FT_SCALE_IN_MAX)
      break;
    machine->terminate_in_flight = TRUE;
    g_ptr_array_add (call->names, g_strdup (machine->name));
  }
  return call;
}

FtCloudCall *
ft_scheduler_next_cloud (FtScheduler *scheduler, gint64 now)
{
  scheduler->context.now = now;
  FtCloudCall *call = next_scale_in (scheduler);
  if (call != NULL || !scheduler->context.may_start)
    return call;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, scheduler->autoscaler.pools);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtPool *pool = value;
    if (pool->booking == NULL || pool->in_flight || pool->retry_at > now)
      continue;
    pool->in_flight = TRUE;
    call = call_new (FT_CLOUD_SCALE_OUT);
    call->booking = g_strdup (pool->booking);
    call->type = g_strdup (pool->type);
    call->zone = g_strdup (pool->zone);
    call->spot = pool->spot;
    call->count = pool->asked;
    return call;
  }
  return NULL;
}

static void
launched (FtScheduler *scheduler, FtPool *pool, const FtCloudCall *call)
{
  for (guint i = 0; i < call->names->len; i++) {
    const char *name = g_ptr_array_index (call->names, i);
    if (g_hash_table_contains (scheduler->machine_table.machines, name)
        || g_hash_table_contains (scheduler->machine_table.gone, name))
      continue;
    FtMachine *machine = ft_machine_new (scheduler, name, NULL, pool->type, pool->zone, pool->spot);
    ft_machine_set_reconciled (machine); /* it has never been sent a command */
    g_hash_table_insert (scheduler->machine_table.machines, machine->name, machine);
    g_message ("machine %s: rented by %s", name, call->booking);
  }
  if (call->names->len < pool->asked)
    pool->refused_until = scheduler->context.now + (gint64) (FT_REFUSED_PAUSE_S * FT_SECOND);
  g_clear_pointer (&pool->booking, g_free);
}

static void
scale_out_done (FtScheduler *scheduler, const FtCloudCall *call, FtCloudResult result)
{
  FtPool *pool = get_pool (scheduler, call->type, call->zone, call->spot);
  pool->in_flight = FALSE;
  if (g_strcmp0 (pool->booking, call->booking) != 0)
    return;
  if (result == FT_CLOUD_OK) {
    launched (scheduler, pool, call);
  } else if (result == FT_CLOUD_REFUSED) {
    pool->refused_until = scheduler->context.now + (gint64) (FT_REFUSED_PAUSE_S * FT_SECOND);
    g_clear_pointer (&pool->booking, g_free);
  } else {
    /* Perhaps carried out: the same booking is repeated until it is answered. */
    pool->retry_at = scheduler->context.now + FT_SECOND;
  }
  scheduler->autoscaler.next_autoscale = scheduler->context.now;
}

static void
scale_in_done (FtScheduler *scheduler, const FtCloudCall *call, FtCloudResult result)
{
  for (guint i = 0; i < call->names->len; i++) {
    FtMachine *machine = g_hash_table_lookup (scheduler->machine_table.machines, g_ptr_array_index (call->names, i));
    if (machine == NULL)
      continue;
    machine->terminate_in_flight = FALSE;
    machine->terminate_at = scheduler->context.now + (gint64) (FT_TERMINATE_RETRY_S * FT_SECOND);
    if (result == FT_CLOUD_OK && machine->state != FT_MACHINE_GONE)
      ft_machine_gone (scheduler, machine, "returned");
  }
  ft_recovery_tick (&scheduler->recovery);
}

void
ft_scheduler_cloud_done (FtScheduler *scheduler, const FtCloudCall *call, FtCloudResult result, gint64 now)
{
  scheduler->context.now = now;
  if (result != FT_CLOUD_FAILED)
    scheduler->context.cloud_answered_at = now;
  if (call->op == FT_CLOUD_SCALE_OUT)
    scale_out_done (scheduler, call, result);
  else
    scale_in_done (scheduler, call, result);
}

/* ---- the cloud's list ---- */

static void
listed_new (FtScheduler *scheduler, const FtListedMachine *entry)
{
  if (entry->state == FT_LISTED_FAILED)
    return;
  FtMachine *machine = ft_machine_new (scheduler, entry->name, entry->addr, entry->type, entry->zone, entry->spot);
  machine->launched_at = scheduler->context.now - (gint64) (entry->age_s * FT_SECOND);
  ft_machine_set_reconciled (machine); /* in no registry: never sent a command */
  machine->listed_running = entry->state == FT_LISTED_RUNNING;
  g_hash_table_insert (scheduler->machine_table.machines, machine->name, machine);
  g_message ("machine %s: found in the list", machine->name);
}

static void
listed_known (FtScheduler *scheduler, FtMachine *machine, const FtListedMachine *entry)
{
  if (entry->state == FT_LISTED_FAILED && machine->state != FT_MACHINE_GONE) {
    /* It stopped on its own and comes back no more. */
    if (machine->state != FT_MACHINE_TERMINATING)
      terminate (scheduler, machine, "failed");
    ft_machine_end_incarnation (scheduler, machine);
    ft_machine_set_reconciled (machine);
  }
  /* A machine known from the registry or a heartbeat is older than this leadership. */
  machine->launched_at = MIN (machine->launched_at, scheduler->context.now - (gint64) (entry->age_s * FT_SECOND));
  if (machine->addr == NULL && entry->addr != NULL)
    machine->addr = g_strdup (entry->addr);
}

void
ft_scheduler_listed (FtScheduler *scheduler, GArray *list, gint64 now)
{
  scheduler->context.now = scheduler->context.cloud_answered_at = now;
  if (!ft_recovery_is_loaded (&scheduler->recovery))
    return; /* the registry is not read: a listed machine may hold tasks */
  /* The list lags and may go back: it adds machines and tells of failed ones;
   * that a machine is missing from it proves nothing. */
  for (guint i = 0; i < list->len; i++) {
    const FtListedMachine *entry = &g_array_index (list, FtListedMachine, i);
    if (g_hash_table_contains (scheduler->machine_table.gone, entry->name))
      continue;
    FtMachine *machine = g_hash_table_lookup (scheduler->machine_table.machines, entry->name);
    if (machine == NULL)
      listed_new (scheduler, entry);
    else
      listed_known (scheduler, machine, entry);
  }
  ft_recovery_tick (&scheduler->recovery);
}
