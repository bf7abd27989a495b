/**
 * SECTION:commands
 * @title: Commands of flintctl
 *
 * The table of commands, which has the name, the arguments, the help and the function of each command. A new command
 * needs an entry in the table of commands.c and in flintctl(1). A command sends its requests with transport.c and
 * prints the answer with output.c. It neither parses the command line nor chooses the exit code.
 */
#pragma once
#include <glib.h>

#include "ctl/output.h"
#include "ctl/transport.h"

/**
 * FtCtlCall:
 * @transport: (transfer none): sends the requests
 * @format: format in which the answer is printed
 * @arguments: (transfer none): the arguments of the command, %NULL-terminated; ft_ctl_command_accepts () has accepted
 *   them
 *
 * The parameters with which main () runs a command.
 */
typedef struct {
  FtCtlTransport *transport;
  FtCtlFormat format;
  char *const *arguments;
} FtCtlCall;

typedef struct _FtCtlCommand FtCtlCommand;

/**
 * FtCtlCommand:
 * @name: name of the command on the command line
 * @arguments: the arguments of the command, as the help shows them
 * @summary: description of the command, as the help shows it
 * @min_arguments: least number of arguments
 * @max_arguments: greatest number of arguments
 * @check: (nullable): checks the form of the arguments, after their number was checked; sends no request and returns
 *   %FALSE if the arguments are wrong
 * @run: runs the command and prints the answer; returns %FALSE on failure, with an error of %FT_CTL_ERROR
 * @list: (nullable): name of the field of the answer that is printed as a table
 *
 * An entry of the table of commands.
 */
struct _FtCtlCommand {
  const char *name;
  const char *arguments;
  const char *summary;
  guint min_arguments;
  guint max_arguments;
  gboolean (*check) (char *const *arguments);
  gboolean (*run) (const FtCtlCommand *command, const FtCtlCall *call, GError **error);
  const char *list;
};

/**
 * ft_ctl_command_find:
 * @name: a word of the command line
 *
 * Returns: (transfer none) (nullable): the command with this name, or %NULL if there is none.
 */
const FtCtlCommand *ft_ctl_command_find (const char *name);

/**
 * ft_ctl_command_accepts:
 * @command: a command
 * @arguments: the words after the command, %NULL-terminated
 *
 * Returns: whether the number and the form of @arguments are valid for @command.
 */
gboolean ft_ctl_command_accepts (const FtCtlCommand *command, char *const *arguments);

/**
 * ft_ctl_commands_help:
 *
 * Returns: (transfer full): the part of the program's help that lists the commands and the exit codes; free it with
 * g_free ().
 */
char *ft_ctl_commands_help (void);
