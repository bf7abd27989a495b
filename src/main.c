/* flintrack: one controller of the cluster scheduler. Reads the arguments and the settings file,
 * starts a controller (net/controller.h) and runs the main loop, which never ends by itself: a controller is
 * stopped by a signal. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include <gio/gio.h>

#include "config.h"
#include "log.h"
#include "net/controller.h"

/* Exit codes, as documented in --help and the manual page; 0 is success. */
typedef enum {
  EXIT_USAGE = 2,    /* wrong arguments, or none that say what to do */
  EXIT_SETTINGS = 3, /* the settings file cannot be read, is not JSON, or a field is missing or wrong */
  EXIT_LISTEN = 4,   /* an address of the settings file cannot be listened on */
} ExitCode;

static int
run_controller (const char *path)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (FtConfig) config = ft_config_load (path, &error);
  if (config == NULL) {
    fprintf (stderr, "flintrack: %s\n", error->message);
    return EXIT_SETTINGS;
  }
  /* Messages are many small blocks beside a few large buffers. With the allocator's fast bins each
   * allocation of the latter would have it merge all the freed former. */
  mallopt (M_MXFAST, 0);
  ft_log_init (config->member);
  FtController *controller = ft_controller_new (config, &error);
  if (controller == NULL) {
    fprintf (stderr, "flintrack: cannot listen: %s\n", error->message);
    return EXIT_LISTEN;
  }
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_main_loop_run (loop);
  ft_controller_free (controller);
  return EXIT_SUCCESS;
}

static int
check_settings (const char *path)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (FtConfig) config = ft_config_load (path, &error);
  if (config == NULL) {
    fprintf (stderr, "flintrack: %s\n", error->message);
    return EXIT_SETTINGS;
  }
  printf ("%s: settings of %s are valid (%u teams, %u controllers)\n", path, config->member, config->core.n_teams,
          config->core.size);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  g_autofree char *config = NULL, *to_check = NULL;
  gboolean version = FALSE;
  g_autoptr (GError) error = NULL;
  const GOptionEntry entries[] = {
    { "config", 'c', 0, G_OPTION_ARG_FILENAME, &config, "Run a controller with this settings file", "FILE" },
    { "check", 0, 0, G_OPTION_ARG_FILENAME, &to_check, "Check a settings file and exit", "FILE" },
    { "version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version and exit", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("- a controller of the flintrack cluster scheduler");
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (
      context, "Exit codes: 2 wrong arguments, 3 settings missing or wrong, 4 an address cannot be listened on.\n"
               "LOG_LEVEL (error, info, debug) sets what is logged to standard error.");
  if (!g_option_context_parse (context, &argc, &argv, &error) || argc > 1) {
    fprintf (stderr, "flintrack: %s\n", error != NULL ? error->message : "unexpected argument");
    return EXIT_USAGE;
  }
  if (version) {
    printf ("flintrack %s\n", FT_VERSION);
    return EXIT_SUCCESS;
  }
  if (to_check != NULL)
    return check_settings (to_check);
  if (config != NULL)
    return run_controller (config);
  fprintf (stderr, "flintrack: --config FILE is needed; see --help\n");
  return EXIT_USAGE;
}
