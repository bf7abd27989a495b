/* flintctl: the operators' client of the administration API; see flintctl(1).
 *
 * arguments.c parses the command line, commands.c implements the commands, transport.c sends requests to the
 * controllers, output.c prints the answers, and error.c maps errors to exit codes. */
#include <locale.h>
#include <stdio.h>

#include "ctl/arguments.h"
#include "ctl/commands.h"
#include "ctl/error.h"
#include "ctl/transport.h"

/* Prints a warning for each controller that did not answer, so that the operator can check it. Prints nothing if
 * `error` is FT_CTL_ERROR_NO_ANSWER, because its message names these controllers. */
static void
warn_of_unanswered (const FtCtlTransport *transport, const GError *error)
{
  const GPtrArray *addresses = ft_ctl_transport_unanswered (transport);
  if (g_error_matches (error, FT_CTL_ERROR, FT_CTL_ERROR_NO_ANSWER))
    return;
  for (guint i = 0; i < addresses->len; i++)
    fprintf (stderr, "flintctl: %s does not answer\n", (const char *) g_ptr_array_index (addresses, i));
}

static gboolean
run (const FtCtlArguments *arguments, GError **error)
{
  g_autoptr (FtCtlTransport) transport = ft_ctl_transport_new (arguments->nodes);
  g_autoptr (GError) failure = NULL;
  const FtCtlCall call = { transport, arguments->format, arguments->words };
  gboolean done = arguments->command->run (arguments->command, &call, &failure);
  warn_of_unanswered (transport, failure);
  if (!done)
    g_propagate_error (error, g_steal_pointer (&failure));
  return done;
}

int
main (int argc, char **argv)
{
  g_autoptr (GError) error = NULL;
  g_auto (FtCtlArguments) arguments = { 0 };
  (void) argc;
  setlocale (LC_ALL, "");
  gboolean done = ft_ctl_arguments_parse (&arguments, argv, &error);
  if (done && arguments.help != NULL)
    g_print ("%s", arguments.help); /* g_print () converts the text to the locale's character set; printf () does not */
  else if (done)
    done = run (&arguments, &error);
  if (done)
    return FT_CTL_EXIT_DONE;
  fprintf (stderr, "flintctl: %s\n", error->message);
  return ft_ctl_exit_code (error);
}
