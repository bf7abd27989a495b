/* GLib's structured logs to standard error, at the level set by LOG_LEVEL
 * (error, info, debug). */
#pragma once

void ft_log_init (const char *member);
/* Returns 0 for an unknown name and leaves the level alone. */
int ft_log_set_level (const char *name);
