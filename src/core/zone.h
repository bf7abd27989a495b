/* Zones as a leader sees them: whether a zone's machines report.
 *
 * Machines that fall silent one by one have failed independently of each other. A zone of which no machine reports at
 * all, while others do, has lost its network or its power: its machines are returned together, and none is
 * launched there, but to probe it, until one reports again.
 *
 * Zones are owned by the machine table, which makes them as machines name them. Heartbeats report to them,
 * the eviction and the scale-out read them. */
#pragma once
#include <glib.h>

#include "core/context.h"

typedef struct _FtZone FtZone;

struct _FtZone {
  char *name;
  gint64 last_heard;    /* when the last status from a machine of the zone arrived, in microseconds; 0: never */
  guint members;        /* machines that should be sending heartbeats, as of the last update */
  gboolean unreachable; /* no member reports; changed by this module only */
  gint64 probe_at;      /* while unreachable: earliest next launch, which shows whether it still is */
};

/* name -> FtZone, owned. */
GHashTable *ft_zones_new (void);

/* The zone of that name, made at its first mention; borrowed, lives as long as the table. */
FtZone *ft_zone_get (GHashTable *zones, const char *name);

/* A status of a machine of the zone has arrived, in a heartbeat or in the answer to a command. */
void ft_zone_reported (FtZone *zone, gint64 now);

/* Counts each zone's members and judges it anew. `zones`: name -> FtZone; `machines`: name -> FtMachine. Called
 * once a tick. */
void ft_zones_update (GHashTable *zones, GHashTable *machines, const FtCoreContext *context);

/* Machines that may be launched in the zone now: all, or one to see whether it is back. */
guint ft_zone_launch_limit (const FtZone *zone, gint64 now);

/* A launch has been requested in the zone. */
void ft_zone_launch_requested (FtZone *zone, gint64 now);
