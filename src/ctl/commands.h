/**
 * SECTION:commands
 * @title: Commands of flintctl
 *
 * The table of commands: name, arguments, help and the function that runs each one. A new command is one line of
 * the table in commands.c, and one entry in flintctl(1). A command sends its requests through the transport and
 * prints the answer with the output module; it reads no command line and chooses no exit code.
 */
#pragma once
#include <glib.h>

#include "ctl/output.h"
#include "ctl/transport.h"

/**
 * FtCtlCall:
 * @transport: sends the requests
 * @format: how the answer is printed
 * @arguments: (transfer none): the words after the command, %NULL-terminated; as many as the command takes
 *
 * One call of a command. Borrowed for the call.
 */
typedef struct {
  FtCtlTransport *transport;
  FtCtlFormat format;
  char *const *arguments;
} FtCtlCall;

typedef struct _FtCtlCommand FtCtlCommand;

/**
 * FtCtlCommand:
 * @name: the word that names the command
 * @arguments: its arguments, as shown in the help
 * @summary: what it does, as shown in the help
 * @least: the fewest arguments
 * @most: the most arguments
 * @check: (nullable): whether the arguments have the form of @arguments, beyond their number; nothing was sent yet
 * @run: runs the command and prints the answer; %FALSE with an error of %FT_CTL_ERROR
 * @list: (nullable): the list in the answer that is printed as a table
 */
struct _FtCtlCommand {
  const char *name;
  const char *arguments;
  const char *summary;
  guint least;
  guint most;
  gboolean (*check) (char *const *arguments);
  gboolean (*run) (const FtCtlCommand *command, const FtCtlCall *call, GError **error);
  const char *list;
};

/**
 * ft_ctl_command_find:
 * @name: a word of the command line
 *
 * Returns: (transfer none) (nullable): the command of that name.
 */
const FtCtlCommand *ft_ctl_command_find (const char *name);

/**
 * ft_ctl_command_accepts:
 * @command: a command
 * @arguments: the words after it, %NULL-terminated
 *
 * Returns: whether the number and form of @arguments fit @command.
 */
gboolean ft_ctl_command_accepts (const FtCtlCommand *command, char *const *arguments);

/**
 * ft_ctl_commands_help:
 *
 * Returns: (transfer full): the list of all commands and the exit codes, for --help; free it with g_free ().
 */
char *ft_ctl_commands_help (void);
