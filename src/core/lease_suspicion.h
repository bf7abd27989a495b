/* Whether the peers of a follower report the holder of the lease as gone, and what the lease rows have shown since.
 *
 *     NONE ----> REPORTED -----------> STANDING ------------+
 *       |                                                   +----> NONE
 *       +------> REPORTED_CONFIRMED -> STANDING_CONFIRMED --+
 *
 * A report alone claims nothing: the rows are read first, and any change of them clears the suspicion, since the holder
 * has renewed or another controller leads. Owned by the lease (lease.c), which alone changes it. */
#pragma once
#include <glib.h>

/* Confirmed: the lease may be claimed without waiting for an overdue renewal. */
typedef enum {
  FT_LEASE_SUSPICION_NONE,
  FT_LEASE_SUSPICION_REPORTED,           /* the rows are to be read */
  FT_LEASE_SUSPICION_REPORTED_CONFIRMED, /* the same */
  FT_LEASE_SUSPICION_ROWS_UNCHANGED,     /* the rows were read and have not changed: claim once a renewal is overdue */
  FT_LEASE_SUSPICION_ROWS_UNCHANGED_CONFIRMED, /* the same: claim now */
} FtLeaseSuspicion;

/* Peers report the holder as gone; there must be no suspicion yet. */
void ft_lease_suspicion_report (FtLeaseSuspicion *suspicion, gboolean confirmed);

/* The rows were read, and are the same as before. Without a report nothing changes. */
void ft_lease_suspicion_rows_unchanged (FtLeaseSuspicion *suspicion);

/* The rows have changed, or the lease is being claimed: the suspicion is settled. */
void ft_lease_suspicion_clear (FtLeaseSuspicion *suspicion);
