#include "ctl/commands.h"

#include <string.h>

#include "ctl/error.h"

/* Requests the resource at @path and prints the answer. */
static gboolean
show (const FtCtlCall *call, const char *path, const char *list, GError **error)
{
  json_auto_t *answer = ft_ctl_transport_request (call->transport, "GET", path, NULL, error);
  if (answer == NULL)
    return FALSE;
  ft_ctl_print_answer (call->format, answer, list);
  return TRUE;
}

/* Runs a command that prints the resource of the same name below /admin/. */
static gboolean
run_show (const FtCtlCommand *command, const FtCtlCall *call, GError **error)
{
  g_autofree char *path = g_strconcat ("/admin/", command->name, NULL);
  return show (call, path, command->list, error);
}

/* ---- job ---- */

static const json_t *
find_job (const json_t *jobs, const char *ref)
{
  size_t i;
  json_t *job;
  json_array_foreach (jobs, i, job)
  {
    if (g_strcmp0 (json_string_value (json_object_get (job, "job")), ref) == 0)
      return job;
  }
  return NULL;
}

static gboolean
run_job (const FtCtlCommand *command, const FtCtlCall *call, GError **error)
{
  const char *ref = call->arguments[0];
  json_auto_t *answer = ft_ctl_transport_request (call->transport, "GET", "/admin/jobs", NULL, error);
  if (answer == NULL)
    return FALSE;
  const json_t *job = find_job (json_object_get (answer, "jobs"), ref);
  if (job == NULL) {
    g_set_error (error, FT_CTL_ERROR, FT_CTL_ERROR_REFUSED, "%s is not an open job", ref);
    return FALSE;
  }
  ft_ctl_print_answer (call->format, job, command->list);
  return TRUE;
}

/* ---- drain, undrain ---- */

/* Runs "drain" or "undrain": the name of the command is also the last part of the path. */
static gboolean
run_drain (const FtCtlCommand *command, const FtCtlCall *call, GError **error)
{
  g_autofree char *machine = g_uri_escape_string (call->arguments[0], NULL, FALSE);
  g_autofree char *path = g_strdup_printf ("/admin/machines/%s/%s", machine, command->name);
  json_auto_t *answer = ft_ctl_transport_request (call->transport, "POST", path, NULL, error);
  if (answer == NULL)
    return FALSE;
  ft_ctl_print_answer (call->format, answer, command->list);
  return TRUE;
}

/* ---- settings ---- */

static const char settings_path[] = "/admin/settings";

static gboolean
is_settings_get (char *const *arguments)
{
  return g_str_equal (arguments[0], "get") && arguments[1] == NULL;
}

/* Returns TRUE if the arguments of "settings" have the form "get" or "set NAME VALUE". */
static gboolean
check_settings (char *const *arguments)
{
  gboolean is_set = g_str_equal (arguments[0], "set") && g_strv_length ((GStrv) arguments) == 3;
  return is_set || is_settings_get (arguments);
}

/* Returns the JSON value for the text of a setting's value: null for "default", a number for the text of a number, a
 * string otherwise. */
static json_t *
parse_setting_value (const char *text)
{
  char *end;
  if (g_str_equal (text, "default"))
    return json_null ();
  double number = g_ascii_strtod (text, &end);
  gboolean is_number = *text != '\0' && *end == '\0';
  return is_number ? json_real (number) : json_string (text);
}

/* Reads the settings and changes one of them. The request contains the version of the settings that were read, so that
 * the controller refuses the change if another change was made meanwhile. */
static gboolean
set_setting (const FtCtlCall *call, const char *list, GError **error)
{
  const char *name = call->arguments[1];
  json_auto_t *settings = ft_ctl_transport_request (call->transport, "GET", settings_path, NULL, error);
  if (settings == NULL)
    return FALSE;
  json_int_t version = json_integer_value (json_object_get (settings, "version"));
  json_t *value = parse_setting_value (call->arguments[2]);
  json_auto_t *change = json_pack ("{s:I, s:{s:o}}", "version", version, "set", name, value);
  json_auto_t *answer = ft_ctl_transport_request (call->transport, "PUT", settings_path, change, error);
  if (answer == NULL)
    return FALSE;
  ft_ctl_print_answer (call->format, answer, list);
  return TRUE;
}

static gboolean
run_settings (const FtCtlCommand *command, const FtCtlCall *call, GError **error)
{
  if (is_settings_get (call->arguments))
    return show (call, settings_path, command->list, error);
  return set_setting (call, command->list, error);
}

/* ---- metrics ---- */

/* Returns the latencies as rows of a table whose first column is the name of the latency. The caller owns the
 * reference. */
static json_t *
latency_rows (const json_t *latencies)
{
  json_t *rows = json_array ();
  json_t *latency;
  const char *name;
  json_object_foreach ((json_t *) latencies, name, latency)
  {
    json_t *row = json_pack ("{s:s}", "latency", name);
    json_object_update (row, latency);
    json_array_append_new (rows, row);
  }
  return rows;
}

static gboolean
run_metrics (const FtCtlCommand *command, const FtCtlCall *call, GError **error)
{
  json_auto_t *answer = ft_ctl_transport_request (call->transport, "GET", "/admin/metrics", NULL, error);
  if (answer == NULL)
    return FALSE;
  if (call->format == FT_CTL_FORMAT_JSON) {
    ft_ctl_print_answer (call->format, answer, NULL);
    return TRUE;
  }
  json_auto_t *rows = latency_rows (json_object_get (answer, command->list));
  ft_ctl_print_fields (json_object_get (answer, "counters"));
  ft_ctl_print_table (rows);
  return TRUE;
}

/* ---- table of commands ---- */

static const FtCtlCommand commands[] = {
  { "status", "", "one controller's state and the leader", 0, 0, NULL, run_show, "peers" },
  { "teams", "", "use, guarantee and limit of each team", 0, 0, NULL, run_show, "teams" },
  { "jobs", "", "open jobs", 0, 0, NULL, run_show, "jobs" },
  { "job", "REF", "one open job", 1, 1, NULL, run_job, NULL },
  { "queue", "", "jobs that wait, and for what", 0, 0, NULL, run_show, "queue" },
  { "machines", "", "machines, and why one is not used", 0, 0, NULL, run_show, "machines" },
  { "drain", "MACHINE", "give a machine no more work", 1, 1, NULL, run_drain, NULL },
  { "undrain", "MACHINE", "use a drained machine again", 1, 1, NULL, run_drain, NULL },
  { "settings", "get | set NAME VALUE", "operators' settings; VALUE may be default", 1, 3, check_settings, run_settings,
    "settings" },
  { "metrics", "", "counters and latencies of one controller", 0, 0, NULL, run_metrics, "latency" },
};

const FtCtlCommand *
ft_ctl_command_find (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    if (g_str_equal (name, commands[i].name))
      return &commands[i];
  return NULL;
}

gboolean
ft_ctl_command_accepts (const FtCtlCommand *command, char *const *arguments)
{
  guint count = g_strv_length ((GStrv) arguments);
  if (count < command->min_arguments || count > command->max_arguments)
    return FALSE;
  return command->check == NULL || command->check (arguments);
}

char *
ft_ctl_commands_help (void)
{
  GString *text = g_string_new ("Commands:\n");
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    g_string_append_printf (text, "  %-8s %-20s %s\n", commands[i].name, commands[i].arguments, commands[i].summary);
  g_string_append (text, "\nExit codes: 0 done, 1 refused, 2 wrong arguments, 3 no controller answered.");
  return g_string_free (text, FALSE);
}
