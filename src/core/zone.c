#include "core/zone.h"

#include "core/constants.h"
#include "core/duration.h"
#include "core/machine.h"

static void
zone_free (FtZone *zone)
{
  g_free (zone->name);
  g_free (zone);
}

GHashTable *
ft_zones_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) zone_free);
}

FtZone *
ft_zone_get (GHashTable *zones, const char *name)
{
  FtZone *zone = g_hash_table_lookup (zones, name);
  if (zone == NULL) {
    zone = g_new0 (FtZone, 1);
    zone->name = g_strdup (name);
    g_hash_table_insert (zones, zone->name, zone);
  }
  return zone;
}

static void
set_unreachable (FtZone *zone, gboolean unreachable)
{
  if (zone->unreachable == unreachable)
    return;
  zone->unreachable = unreachable;
  g_message ("zone %s: %s", zone->name, unreachable ? "unreachable (no machine in it reports)" : "reachable again");
}

void
ft_zone_reported (FtZone *zone, gint64 now)
{
  zone->last_report_at = now;
  set_unreachable (zone, FALSE);
}

static void
count_members (GHashTable *zones, GHashTable *machines)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, zones);
  while (g_hash_table_iter_next (&it, NULL, &value))
    ((FtZone *) value)->members = 0;
  g_hash_table_iter_init (&it, machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *machine = value;
    machine->zone_view->members += ft_machine_should_report (machine);
  }
}

/* Whether the reports of all members of the zone are overdue. Time in which this leader was late or answered no
 * heartbeats does not count. A zone with fewer than FT_ZONE_MEMBERS_MIN members never counts as overdue, since so few
 * machines may have failed independently. */
static gboolean
all_members_overdue (const FtCoreContext *context, const FtZone *zone)
{
  gint64 since = MAX (zone->last_report_at, MAX (context->timers_late_until, context->answers_interrupted_until));
  return zone->members >= FT_ZONE_MEMBERS_MIN
         && context->now - MAX (since, context->loaded_at) > ft_reachability_overdue_us (context);
}

static gboolean
reported_recently (const FtCoreContext *context, const FtZone *zone)
{
  return zone->members > 0 && zone->last_report_at > 0
         && context->now - zone->last_report_at <= ft_reachability_overdue_us (context);
}

void
ft_zones_update (GHashTable *zones, GHashTable *machines, const FtCoreContext *context)
{
  GHashTableIter it;
  gpointer value;
  gboolean any_reported = FALSE;
  count_members (zones, machines);
  g_hash_table_iter_init (&it, zones);
  while (g_hash_table_iter_next (&it, NULL, &value))
    any_reported |= reported_recently (context, value);
  /* A leader to which no machine reports is itself cut off and cannot tell whether a zone is reachable. */
  if (!any_reported)
    return;
  g_hash_table_iter_init (&it, zones);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (all_members_overdue (context, value))
      set_unreachable (value, TRUE);
}

guint
ft_zone_launch_limit (const FtZone *zone, gint64 now)
{
  if (!zone->unreachable)
    return G_MAXUINT;
  return now >= zone->probe_at ? 1 : 0;
}

void
ft_zone_launch_requested (FtZone *zone, gint64 now)
{
  if (zone->unreachable)
    zone->probe_at = now + ft_seconds (FT_ZONE_PROBE_EVERY_S);
}
