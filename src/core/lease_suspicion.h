/* A follower's suspicion that the holder of the lease is gone: whether its peers report that, and what the lease rows
 * have shown since the report.
 *
 *     NONE --> REPORTED -----------> ROWS_UNCHANGED
 *     NONE --> REPORTED_CONFIRMED -> ROWS_UNCHANGED_CONFIRMED        any state --> NONE
 *
 * A report alone does not allow the follower to claim the lease: it reads the rows first. If the rows have changed, the
 * holder has renewed the lease or another controller leads, and the suspicion is cleared. The lease (lease.c) owns the
 * suspicion; no other module changes it. */
#pragma once
#include <glib.h>

/* A suspicion is confirmed if the follower may claim the lease without waiting for an overdue renewal. */
typedef enum {
  FT_LEASE_SUSPICION_NONE,                     /* the holder is not suspected */
  FT_LEASE_SUSPICION_REPORTED,                 /* peers report the holder as gone; the rows are to be read */
  FT_LEASE_SUSPICION_REPORTED_CONFIRMED,       /* the report is confirmed; the rows are to be read */
  FT_LEASE_SUSPICION_ROWS_UNCHANGED,           /* no change of the rows since a report: claim if a renewal is overdue */
  FT_LEASE_SUSPICION_ROWS_UNCHANGED_CONFIRMED, /* no change of the rows since a confirmed report: claim now */
} FtLeaseSuspicion;

/* Records that peers report the holder as gone. The suspicion must be FT_LEASE_SUSPICION_NONE. */
void ft_lease_suspicion_report (FtLeaseSuspicion *suspicion, gboolean confirmed);

/* Records that the rows were read and have not changed. Without an earlier report this changes nothing. */
void ft_lease_suspicion_rows_unchanged (FtLeaseSuspicion *suspicion);

/* Clears the suspicion, since the rows have changed or the lease is being claimed. */
void ft_lease_suspicion_clear (FtLeaseSuspicion *suspicion);
