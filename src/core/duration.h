/* Durations. The constants and the settings give them in seconds; the program computes in microseconds. */
#pragma once
#include <glib.h>

#include "core/constants.h"

/**
 * ft_seconds:
 * @seconds: a number of seconds
 *
 * Returns: the same duration in microseconds, rounded towards zero
 */
static inline gint64
ft_seconds (double seconds)
{
  return (gint64) (seconds * FT_SECOND);
}
