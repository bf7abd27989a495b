/* Zones as a leader sees them: whether anything is heard from a zone's machines.
 *
 * Machines that fall silent one by one have failed independently of each other. A zone from which no
 * machine is heard at all, while others are, has lost its network or its power: its machines
 * are given up together, and none is launched there until one is heard again.
 *
 * Zones are owned by the machine table, which makes them as machines name them. Heartbeats report to them,
 * the eviction and the scale-out ask them. */
#pragma once
#include <glib.h>

#include "core/context.h"

typedef struct _FtZone FtZone;

struct _FtZone {
  char *name;
  gint64 last_heard;    /* when a machine of the zone was heard last; 0: never */
  guint members;        /* machines that should be heard, as of the last update */
  gboolean unreachable; /* no member is heard; changed by this module only */
  gint64 probe_at;      /* while unreachable: earliest next launch, which shows whether it still is */
};

/* name -> FtZone, owned. */
GHashTable *ft_zones_new (void);

/* The zone of that name, made at its first mention; borrowed, lives as long as the table. */
FtZone *ft_zone_get (GHashTable *zones, const char *name);

/* A machine of the zone was heard. */
void ft_zone_heard (FtZone *zone, gint64 now);

/* Counts each zone's members and judges it anew. `zones`: name -> FtZone; `machines`: name -> FtMachine. Called
 * once a tick. */
void ft_zones_update (GHashTable *zones, GHashTable *machines, const FtCoreContext *context);

/* Machines that may be launched in the zone now: all, or one to see whether it is back. */
guint ft_zone_launchable (const FtZone *zone, gint64 now);

/* A machine has been asked for in the zone. */
void ft_zone_launched (FtZone *zone, gint64 now);
