#include "ctl/arguments.h"

#include <string.h>

#include "ctl/error.h"

static const char nodes_variable[] = "FLINTCTL_NODES";
/* A controller on this host, on the port that the documentation's examples use. */
static const char default_node[] = "127.0.0.1:8081";

enum { PORT_MAX = 65535 };

/* The values of the options. Free the contents with parsed_options_clear (). */
typedef struct {
  GStrv nodes;
  gboolean json;
  gboolean help;
} ParsedOptions;

static void
parsed_options_clear (ParsedOptions *options)
{
  g_strfreev (options->nodes);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (ParsedOptions, parsed_options_clear)

/* Returns a context with the options that the help lists. The context stores the values of parsed options in @options,
 * which must outlive it. */
static GOptionContext *
new_context (const char *usage, ParsedOptions *options)
{
  const GOptionEntry entries[] = {
    { "node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &options->nodes, "Administration address; may be repeated",
      "HOST:PORT" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &options->json, "Print JSON", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new (usage);
  g_option_context_add_main_entries (context, entries, NULL);
  return context;
}

/* Parses the options and removes them from @argv, so that only the words remain. --help only sets a flag, because the
 * help text depends on the command, which may follow the option. */
static gboolean
parse_options (char ***argv, ParsedOptions *options, GError **error)
{
  g_autoptr (GOptionContext) context = new_context (NULL, options);
  const GOptionEntry help[] = {
    { "help", 'h', 0, G_OPTION_ARG_NONE, &options->help, NULL, NULL },
    { "help-all", '?', 0, G_OPTION_ARG_NONE, &options->help, NULL, NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  g_option_context_set_help_enabled (context, FALSE);
  g_option_context_add_main_entries (context, help, NULL);
  return g_option_context_parse_strv (context, argv, error);
}

/* Returns the help text of a command, or of the program if @command is NULL. Free it with g_free (). */
static char *
help_text (const FtCtlCommand *command)
{
  ParsedOptions unused = { 0 };
  g_autofree char *usage = command != NULL ? g_strdup_printf ("%s %s", command->name, command->arguments)
                                           : g_strdup ("COMMAND [ARGUMENT...]");
  g_autofree char *summary = command != NULL ? g_strdup (command->summary) : ft_ctl_commands_help ();
  g_autoptr (GOptionContext) context = new_context (usage, &unused);
  g_option_context_set_summary (context, summary);
  g_option_context_set_description (context, "Addresses may also stand in FLINTCTL_NODES, separated by commas.");
  return g_option_context_get_help (context, TRUE, NULL);
}

static gboolean
is_address (const char *text)
{
  const char *colon = strrchr (text, ':');
  return colon != NULL && colon != text && strpbrk (text, " \t,/?#@") == NULL
         && g_ascii_string_to_unsigned (colon + 1, 10, 1, PORT_MAX, NULL, NULL);
}

/* Returns the addresses in FLINTCTL_NODES, or the default address if the variable is not set. Skips empty addresses,
 * for example after a comma at the end. */
static GStrv
nodes_from_environment (void)
{
  const char *value = g_getenv (nodes_variable);
  g_auto (GStrv) listed = g_strsplit (value != NULL ? value : default_node, ",", 0);
  g_autoptr (GStrvBuilder) nodes = g_strv_builder_new ();
  for (guint i = 0; listed[i] != NULL; i++)
    if (*g_strstrip (listed[i]) != '\0')
      g_strv_builder_add (nodes, listed[i]);
  return g_strv_builder_end (nodes);
}

/* Sets the addresses of the controllers and checks their form. */
static gboolean
set_nodes (FtCtlArguments *arguments, ParsedOptions *options, GError **error)
{
  const char *source = options->nodes != NULL ? "--node" : nodes_variable;
  arguments->nodes = options->nodes != NULL ? g_steal_pointer (&options->nodes) : nodes_from_environment ();
  if (arguments->nodes[0] == NULL) {
    g_set_error (error, FT_CTL_ERROR, FT_CTL_ERROR_USAGE, "%s names no address", source);
    return FALSE;
  }
  for (guint i = 0; arguments->nodes[i] != NULL; i++)
    if (!is_address (arguments->nodes[i])) {
      g_set_error (error, FT_CTL_ERROR, FT_CTL_ERROR_USAGE, "%s: %s is not an address of the form HOST:PORT", source,
                   arguments->nodes[i]);
      return FALSE;
    }
  return TRUE;
}

/* Sets the command, its arguments and the help text. The first word is the name of the command, the others are its
 * arguments. */
static gboolean
set_command (FtCtlArguments *arguments, char *const *words, gboolean help, GError **error)
{
  const char *name = words[0];
  arguments->command = name != NULL ? ft_ctl_command_find (name) : NULL;
  if (name != NULL && arguments->command == NULL) {
    g_set_error (error, FT_CTL_ERROR, FT_CTL_ERROR_USAGE, "there is no command %s; see --help", name);
    return FALSE;
  }
  if (help) {
    arguments->help = help_text (arguments->command);
    return TRUE;
  }
  if (name == NULL) {
    g_set_error (error, FT_CTL_ERROR, FT_CTL_ERROR_USAGE, "a command is needed; see --help");
    return FALSE;
  }
  arguments->words = g_strdupv ((GStrv) words + 1);
  if (ft_ctl_command_accepts (arguments->command, arguments->words))
    return TRUE;
  const char *expected = arguments->command->arguments;
  g_set_error (error, FT_CTL_ERROR, FT_CTL_ERROR_USAGE, "wrong arguments, usage: flintctl %s%s%s", name,
               *expected != '\0' ? " " : "", expected);
  return FALSE;
}

gboolean
ft_ctl_arguments_parse (FtCtlArguments *arguments, char **argv, GError **error)
{
  g_auto (ParsedOptions) options = { 0 };
  g_auto (GStrv) words = g_strdupv (argv);
  if (!parse_options (&words, &options, error))
    return FALSE;
  arguments->format = options.json ? FT_CTL_FORMAT_JSON : FT_CTL_FORMAT_TEXT;
  if (!set_command (arguments, words + 1, options.help, error))
    return FALSE;
  return arguments->help != NULL || set_nodes (arguments, &options, error);
}

void
ft_ctl_arguments_clear (FtCtlArguments *arguments)
{
  g_clear_pointer (&arguments->nodes, g_strfreev);
  g_clear_pointer (&arguments->words, g_strfreev);
  g_clear_pointer (&arguments->help, g_free);
}
