/**
 * SECTION:arguments
 * @title: Command line of flintctl
 *
 * Parses the command line and FLINTCTL_NODES into a #FtCtlArguments, whose command main () runs. Options may precede or
 * follow the command. This module detects every error in the arguments before flintctl sends a request.
 */
#pragma once
#include <glib.h>

#include "ctl/commands.h"

/**
 * FtCtlArguments:
 * @nodes: addresses of controllers, as HOST:PORT, in the order in which requests are sent to them; at least one
 * @format: format in which the answer is printed
 * @command: (nullable): the command; %NULL only if @help is set
 * @words: the arguments of the command, %NULL-terminated; the command accepts them
 * @help: (nullable): the help text, if the command line contains --help; flintctl then only prints this text, and
 *   @nodes and @words are not set
 *
 * The parsed command line. Owns all fields except @command.
 */
typedef struct {
  GStrv nodes;
  FtCtlFormat format;
  const FtCtlCommand *command;
  GStrv words;
  char *help;
} FtCtlArguments;

/**
 * ft_ctl_arguments_parse:
 * @arguments: (out caller-allocates): the parsed command line; the caller sets all fields to zero before the call, and
 *   calls ft_ctl_arguments_clear () after it, also on failure
 * @argv: the command line with the program's name, %NULL-terminated
 * @error: set on failure to %FT_CTL_ERROR_USAGE or an error of %G_OPTION_ERROR
 *
 * The addresses come from the option --node. Without this option they come from FLINTCTL_NODES, separated by commas. If
 * neither is given, the only address is 127.0.0.1:8081.
 *
 * Returns: %TRUE on success; %FALSE with @error set if the command line or FLINTCTL_NODES is wrong.
 */
gboolean ft_ctl_arguments_parse (FtCtlArguments *arguments, char **argv, GError **error);

/** ft_ctl_arguments_clear: frees the fields that @arguments owns and sets them to %NULL. */
void ft_ctl_arguments_clear (FtCtlArguments *arguments);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (FtCtlArguments, ft_ctl_arguments_clear)
