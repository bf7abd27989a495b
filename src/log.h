/**
 * SECTION: log
 * @title: Logs
 *
 * Writes each message of GLib's logging functions (g_message(), g_warning() and others) to standard
 * error as one line of the form:
 *
 *   MEMBER LEVEL TEXT
 *
 * MEMBER is the name of the controller, so that the logs of several controllers can be merged. LEVEL
 * is "error", "warning", "info" (also for g_message()) or "debug". Lines contain no time, because the
 * service that collects standard error adds it. Any thread may log.
 */
#pragma once
#include <glib.h>

/**
 * ft_log_init:
 * @member: name of this controller, copied
 *
 * Installs the log format and sets the log level from the environment variable LOG_LEVEL. The level
 * is "error" if the variable is not set or is invalid. main() calls this function once, before it
 * starts the controller. Until then, and in tests, GLib's own log format is used.
 */
void ft_log_init (const char *member);

/**
 * ft_log_set_level:
 * @name: (nullable): name of the level: "error" logs errors and warnings, "info" also logs
 *   information, "debug" logs everything
 *
 * Sets the log level for all later messages. Called only on the main thread: at the start, and when an
 * operator changes the setting of the log level.
 *
 * Returns: %TRUE on success; %FALSE, with the level unchanged, if @name is not the name of a level.
 */
gboolean ft_log_set_level (const char *name);
