/* flintctl: the operators' client of the administration API. */
#include <locale.h>
#include <stdio.h>
#include <string.h>

#include "core/constants.h"
#include "net/http.h"

enum { EXIT_REFUSED = 1, EXIT_USAGE = 2, EXIT_NO_ANSWER = 3 };

static gboolean as_json;
static GStrv nodes;

/* ---- asking ---- */

typedef struct {
  GMainLoop *loop;
  guint status;
  json_t *body;
} Answer;

static void
on_answer (guint status, const json_t *body, gpointer data)
{
  Answer *answer = data;
  answer->status = status;
  answer->body = json_incref ((json_t *) body);
  g_main_loop_quit (answer->loop);
}

static Answer
ask_node (FtHttpClient *client, const char *addr, const char *method, const char *path, const json_t *body)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  Answer answer = { .loop = loop };
  ft_http_send (client, method, addr, path, FT_BODY_JSON, body, FT_CTL_TIMEOUT_S, TRUE, on_answer, &answer);
  if (answer.status == 0 && answer.body == NULL)
    g_main_loop_run (loop);
  return answer;
}

/* Asks one node after the other until one answers, and goes on to the leader
 * if that node names it. Returns an exit code; `out` gets the body. */
static int
ask (const char *method, const char *path, const json_t *body, json_t **out)
{
  FtHttpClient *client = ft_http_client_new (2, 4);
  Answer answer = { 0 };
  for (guint i = 0; nodes[i] != NULL && answer.status == 0; i++) {
    answer = ask_node (client, nodes[i], method, path, body);
    if (answer.status == 0)
      fprintf (stderr, "flintctl: %s does not answer\n", nodes[i]);
    const char *leader = json_string_value (json_object_get (answer.body, "addr"));
    if (answer.status == 421 && leader != NULL) {
      json_t *pointer = answer.body;
      answer = ask_node (client, leader, method, path, body);
      json_decref (pointer);
    }
  }
  ft_http_client_free (client);
  if (answer.status == 0) {
    fprintf (stderr, "flintctl: no controller answered\n");
    return EXIT_NO_ANSWER;
  }
  *out = answer.body;
  if (answer.status == 200)
    return 0;
  const char *error = json_string_value (json_object_get (answer.body, "error"));
  fprintf (stderr, "flintctl: %s (%u)\n", error != NULL ? error : "refused", answer.status);
  return EXIT_REFUSED;
}

/* ---- printing ---- */

static char *
cell (const json_t *value)
{
  if (json_is_string (value))
    return g_strdup (json_string_value (value));
  if (json_is_integer (value))
    return g_strdup_printf ("%" JSON_INTEGER_FORMAT, json_integer_value (value));
  if (json_is_real (value))
    return g_strdup_printf ("%g", json_real_value (value));
  if (json_is_boolean (value))
    return g_strdup (json_is_true (value) ? "yes" : "no");
  return g_strdup ("-");
}

/* Rows of maps as a table; the first row's keys, in their order, head it. */
static void
print_table (const json_t *rows)
{
  const json_t *first = json_array_get (rows, 0);
  const char *name;
  json_t *value;
  if (first == NULL) {
    printf ("none\n");
    return;
  }
  GArray *widths = g_array_new (FALSE, TRUE, sizeof (int));
  json_object_foreach ((json_t *) first, name, value)
  {
    int width = (int) strlen (name);
    for (size_t i = 0; i < json_array_size (rows); i++) {
      g_autofree char *text = cell (json_object_get (json_array_get (rows, i), name));
      width = MAX (width, (int) strlen (text));
    }
    g_array_append_val (widths, width);
    printf ("%-*s  ", width, name);
  }
  printf ("\n");
  for (size_t i = 0; i < json_array_size (rows); i++) {
    guint column = 0;
    json_object_foreach ((json_t *) first, name, value)
    {
      g_autofree char *text = cell (json_object_get (json_array_get (rows, i), name));
      printf ("%-*s  ", g_array_index (widths, int, column++), text);
    }
    printf ("\n");
  }
  g_array_unref (widths);
}

static void
print_map (const json_t *map)
{
  const char *name;
  json_t *value;
  json_object_foreach ((json_t *) map, name, value)
  {
    if (json_is_array (value) || json_is_object (value))
      continue;
    g_autofree char *text = cell (value);
    printf ("%-18s %s\n", name, text);
  }
}

static void
print_body (const json_t *body, const char *list)
{
  if (as_json) {
    char *text = json_dumps (body, JSON_INDENT (2));
    printf ("%s\n", text);
    free (text);
    return;
  }
  print_map (body);
  if (list != NULL)
    print_table (json_object_get (body, list));
}

/* ---- commands ---- */

static int
show (const char *path, const char *list)
{
  json_t *body = NULL;
  int code = ask ("GET", path, NULL, &body);
  if (code == 0)
    print_body (body, list);
  json_decref (body);
  return code;
}

static int
cmd_job (char **args)
{
  json_t *body = NULL, *item;
  size_t i;
  int code = ask ("GET", "/admin/jobs", NULL, &body);
  gboolean found = FALSE;
  json_array_foreach (json_object_get (body, "jobs"), i, item)
  {
    if (g_strcmp0 (json_string_value (json_object_get (item, "job")), args[0]) != 0)
      continue;
    print_body (item, NULL);
    found = TRUE;
  }
  if (code == 0 && !found) {
    fprintf (stderr, "flintctl: %s is not an open job\n", args[0]);
    code = EXIT_REFUSED;
  }
  json_decref (body);
  return code;
}

static int
cmd_metrics (char **args)
{
  (void) args;
  json_t *body = NULL, *value;
  const char *name;
  int code = ask ("GET", "/admin/metrics", NULL, &body);
  if (code == 0 && as_json)
    print_body (body, NULL);
  if (code == 0 && !as_json) {
    print_map (json_object_get (body, "counters"));
    json_t *rows = json_array ();
    json_object_foreach (json_object_get (body, "latency"), name, value)
    {
      json_t *row = json_pack ("{s:s}", "latency", name);
      json_object_update (row, value);
      json_array_append_new (rows, row);
    }
    print_table (rows);
    json_decref (rows);
  }
  json_decref (body);
  return code;
}

static int
change_drain (const char *machine, const char *verb)
{
  json_t *body = NULL;
  g_autofree char *path = g_strdup_printf ("/admin/machines/%s/%s", machine, verb);
  int code = ask ("POST", path, NULL, &body);
  if (code == 0)
    print_body (body, NULL);
  json_decref (body);
  return code;
}

static int
cmd_drain (char **args)
{
  return change_drain (args[0], "drain");
}

static int
cmd_undrain (char **args)
{
  return change_drain (args[0], "undrain");
}

/* A number if it reads as one, null for "default", text otherwise. */
static json_t *
parse_value (const char *text)
{
  char *end;
  double number = g_ascii_strtod (text, &end);
  if (strcmp (text, "default") == 0)
    return json_null ();
  return *text != '\0' && *end == '\0' ? json_real (number) : json_string (text);
}

static int
set_setting (const char *name, const char *value)
{
  json_t *now = NULL, *body = NULL;
  int code = ask ("GET", "/admin/settings", NULL, &now);
  if (code == 0) {
    json_t *change = json_pack ("{s:I, s:{s:o}}", "version", json_integer_value (json_object_get (now, "version")),
                                "set", name, parse_value (value));
    code = ask ("PUT", "/admin/settings", change, &body);
    json_decref (change);
  }
  if (code == 0)
    print_body (body, "settings");
  json_decref (now);
  json_decref (body);
  return code;
}

static int
cmd_settings (char **args)
{
  if (strcmp (args[0], "get") == 0 && args[1] == NULL)
    return show ("/admin/settings", "settings");
  if (strcmp (args[0], "set") == 0 && g_strv_length (args) == 3)
    return set_setting (args[1], args[2]);
  fprintf (stderr, "flintctl: settings get, or settings set NAME VALUE|default\n");
  return EXIT_USAGE;
}

typedef struct {
  const char *name, *arguments, *what;
  guint least, most;        /* arguments */
  int (*run) (char **args); /* NULL: shows /admin/NAME */
  const char *list;         /* the list to show as a table, then */
} Command;

static const Command commands[] = {
  { "status", "", "one controller's state and the leader", 0, 0, NULL, "peers" },
  { "teams", "", "use, guarantee and limit of each team", 0, 0, NULL, "teams" },
  { "jobs", "", "open jobs", 0, 0, NULL, "jobs" },
  { "job", "REF", "one open job", 1, 1, cmd_job, NULL },
  { "queue", "", "jobs that wait, and for what", 0, 0, NULL, "queue" },
  { "machines", "", "machines, and why one is not used", 0, 0, NULL, "machines" },
  { "drain", "MACHINE", "give a machine no more work", 1, 1, cmd_drain, NULL },
  { "undrain", "MACHINE", "use it again", 1, 1, cmd_undrain, NULL },
  { "settings", "get | set NAME VALUE", "operators' settings; VALUE may be default", 1, 3, cmd_settings, NULL },
  { "metrics", "", "counters and latencies of one controller", 0, 0, cmd_metrics, NULL },
};

static char *
summary (void)
{
  GString *text = g_string_new ("Commands:\n");
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    g_string_append_printf (text, "  %-8s %-20s %s\n", commands[i].name, commands[i].arguments, commands[i].what);
  g_string_append (text, "\nExit codes: 0 done, 1 refused, 2 wrong arguments, 3 no controller answered.");
  return g_string_free (text, FALSE);
}

static int
run_command (const Command *command, int argc, char **argv)
{
  g_autoptr (GError) error = NULL;
  g_auto (GStrv) given = NULL;
  const GOptionEntry entries[] = {
    { "node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &given, "Administration address; may be repeated", "HOST:PORT" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &as_json, "Print JSON", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  g_autofree char *usage = command != NULL ? g_strdup_printf ("%s %s", command->name, command->arguments)
                                           : g_strdup ("COMMAND [ARGUMENT...]");
  g_autoptr (GOptionContext) context = g_option_context_new (usage);
  g_option_context_add_main_entries (context, entries, NULL);
  g_autofree char *all = command != NULL ? g_strdup (command->what) : summary ();
  g_option_context_set_summary (context, all);
  g_option_context_set_description (context, "Addresses may also stand in FLINTCTL_NODES, separated by commas.");
  if (!g_option_context_parse (context, &argc, &argv, &error)) {
    fprintf (stderr, "flintctl: %s\n", error->message);
    return EXIT_USAGE;
  }
  guint n = (guint) argc - 1;
  if (command == NULL || n < command->least || n > command->most) {
    g_autofree char *help = g_option_context_get_help (context, TRUE, NULL);
    fprintf (stderr, "%s", help);
    return EXIT_USAGE;
  }
  const char *environment = g_getenv ("FLINTCTL_NODES");
  nodes = given != NULL ? g_strdupv (given) : g_strsplit (environment != NULL ? environment : "127.0.0.1:8081", ",", 0);
  if (command->run != NULL)
    return command->run (argv + 1);
  g_autofree char *path = g_strconcat ("/admin/", command->name, NULL);
  return show (path, command->list);
}

int
main (int argc, char **argv)
{
  setlocale (LC_ALL, "");
  const Command *command = NULL;
  /* The first word that is no option names the command. */
  for (int i = 1; i < argc && command == NULL; i++) {
    if (g_str_equal (argv[i], "--node") || g_str_equal (argv[i], "-n")) {
      i++;
      continue;
    }
    for (guint c = 0; c < G_N_ELEMENTS (commands); c++)
      if (g_str_equal (argv[i], commands[c].name))
        command = &commands[c];
    if (argv[i][0] == '-')
      continue;
    if (command == NULL) {
      fprintf (stderr, "flintctl: there is no command %s; see --help\n", argv[i]);
      return EXIT_USAGE;
    }
    memmove (&argv[i], &argv[i + 1], sizeof (char *) * (size_t) (argc - i));
    argc--;
  }
  int code = run_command (command, argc, argv);
  g_strfreev (nodes);
  return code;
}
