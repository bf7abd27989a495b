/* The parts of the administration API behind the routes of admin.c. Private to admin*.c.
 *
 * Each function that takes an FtHttpRequest takes it over and answers it, now or later. */
#pragma once
#include "net/http.h"
#include "net/node.h"

/**
 * ft_admin_refuse:
 * @request: (transfer full): the request
 * @status: the answer's HTTP status
 * @format: printf-style text for the operator
 *
 * Answers with an error that says why.
 */
void ft_admin_refuse (FtHttpRequest *request, FtHttpStatus status, const char *format, ...) G_GNUC_PRINTF (3, 4);

/* admin_status.c */

/**
 * ft_admin_get_status:
 * @request: (transfer full): GET /admin/status
 */
void ft_admin_get_status (FtNode *node, FtHttpRequest *request);

/**
 * ft_admin_get_metrics:
 * @request: (transfer full): GET /admin/metrics
 *
 * Answers with the counters since the start; a leader's also say how many jobs there are now.
 */
void ft_admin_get_metrics (FtNode *node, FtHttpRequest *request);

/**
 * ft_admin_has_list:
 *
 * Returns: whether the leader has a list of that name: "teams", "jobs", "queue" or "machines"
 */
gboolean ft_admin_has_list (const char *name);

/**
 * ft_admin_get_list:
 * @node: leads, and is recovered
 * @request: (transfer full): GET /admin/NAME
 * @name: of a list, see ft_admin_has_list()
 */
void ft_admin_get_list (FtNode *node, FtHttpRequest *request, const char *name);

/* admin_settings.c */

/**
 * ft_admin_get_settings:
 * @request: (transfer full): GET /admin/settings
 *
 * Answers with the settings in force on this controller, their ranges and their version.
 */
void ft_admin_get_settings (FtNode *node, FtHttpRequest *request);

/**
 * ft_admin_put_settings:
 * @request: (transfer full): PUT /admin/settings with {"version": N, "set": {NAME: VALUE}}
 *
 * Commits changed settings as a compare-and-swap on their version, and applies them here; the other
 * controllers read them within FT_SETTINGS_EVERY_S.
 */
void ft_admin_put_settings (FtNode *node, FtHttpRequest *request);

/* admin_drains.c */

/**
 * ft_admin_drain:
 * @node: leads, and is recovered
 * @request: (transfer full): POST /admin/machines/NAME/drain
 * @machine: its name
 *
 * Commits that nothing more is to be started on the machine, then has the scheduler drain it.
 */
void ft_admin_drain (FtNode *node, FtHttpRequest *request, const char *machine);

/**
 * ft_admin_undrain:
 * @node: leads, and is recovered
 * @request: (transfer full): POST /admin/machines/NAME/undrain
 * @machine: its name
 *
 * Takes a drain back; also for a machine that is not known.
 */
void ft_admin_undrain (FtNode *node, FtHttpRequest *request, const char *machine);
