/**
 * SECTION: log
 * @title: Logs
 *
 * What is logged by g_message(), g_warning() and the like goes to standard error, a line each:
 *
 *   MEMBER LEVEL TEXT
 *
 * MEMBER is the controller's name, so that the logs of several can be merged; LEVEL is "error",
 * "warning", "info" (also for g_message()) or "debug". There is no time in a line: whoever
 * collects standard error adds it. Any thread may log.
 */
#pragma once
#include <glib.h>

/**
 * ft_log_init:
 * @member: name of this controller, copied
 *
 * Installs the format and the level that the environment's LOG_LEVEL names; if it names none,
 * "error" holds. To be called once, by main() before it starts a controller; GLib's own format
 * is used before that and in tests.
 */
void ft_log_init (const char *member);

/**
 * ft_log_set_level:
 * @name: (nullable): "error" for errors and warnings, "info" for messages too, "debug" for all
 *
 * Changes the level for all lines from now on. Called on the main thread, at the start and when an
 * operator changes the setting.
 *
 * Returns: %FALSE, with the level as it was, if the name is unknown.
 */
gboolean ft_log_set_level (const char *name);
