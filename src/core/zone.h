/* The leader's records of zones: whether the machines of a zone report.
 *
 * Machines that fall silent one by one have failed independently of each other. If no machine of a zone reports while
 * machines of other zones do, the zone has lost its network or its power. Its machines are then returned together.
 * Until one of its machines reports again, single machines are launched in the zone at long intervals to probe it.
 *
 * Zones are owned by the machine table, which creates a zone when the first machine names it. Heartbeats update the
 * zones; the eviction and the scale-out read them. */
#pragma once
#include <glib.h>

#include "core/context.h"

typedef struct _FtZone FtZone;

struct _FtZone {
  char *name;
  gint64 last_report_at; /* when the last status from a machine of the zone arrived, in microseconds; 0: never */
  guint members;         /* machines that should be sending heartbeats, as of the last ft_zones_update() */
  gboolean unreachable;  /* no member reports; changed by this module only */
  gint64 probe_at;       /* while `unreachable`: earliest next launch to probe the zone, in microseconds */
};

/* Returns a new, empty table: name -> FtZone, owned by the table. */
GHashTable *ft_zones_new (void);

/* Returns the zone of that name and creates it if the table has none; borrowed, lives as long as the table. */
FtZone *ft_zone_get (GHashTable *zones, const char *name);

/* Records that a status of a machine of the zone has arrived, in a heartbeat or in the answer to a command. `now` is
 * in microseconds. */
void ft_zone_reported (FtZone *zone, gint64 now);

/* Counts the members of each zone and marks zones as unreachable. `zones`: name -> FtZone; `machines`: name ->
 * FtMachine. Called once a tick. */
void ft_zones_update (GHashTable *zones, GHashTable *machines, const FtCoreContext *context);

/* Returns how many machines may be launched in the zone at `now` (microseconds): G_MAXUINT if it is reachable,
 * otherwise 1 if a probe of the zone is due, or 0. */
guint ft_zone_launch_limit (const FtZone *zone, gint64 now);

/* Records that a launch in the zone has been requested at `now` (microseconds). */
void ft_zone_launch_requested (FtZone *zone, gint64 now);
