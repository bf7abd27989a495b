/**
 * SECTION:arguments
 * @title: Command line of flintctl
 *
 * Reads the command line and FLINTCTL_NODES into a #FtCtlArguments, which main () runs. Options may stand before and
 * after the command. Everything that is wrong with them is found here, before anything is sent.
 */
#pragma once
#include <glib.h>

#include "ctl/commands.h"

/**
 * FtCtlArguments:
 * @nodes: addresses HOST:PORT in the order in which they are asked; at least one
 * @format: how the answer is printed
 * @command: (nullable): the command; %NULL only if @help is set
 * @words: the words after the command, which it accepts, %NULL-terminated
 * @help: (nullable): the help text that was asked for; if it is set, nothing else is to be done
 *
 * Owns everything but @command.
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
 * @arguments: (out caller-allocates): zeroed; to be cleared by the caller also after an error
 * @argv: the command line with the program's name, %NULL-terminated
 * @error: of %G_OPTION_ERROR, or %FT_CTL_ERROR_USAGE
 *
 * The addresses are those of --node; without it, those of FLINTCTL_NODES, separated by commas; without both, the
 * loopback address with the usual port.
 *
 * Returns: %FALSE with @error set if the command line or FLINTCTL_NODES is wrong.
 */
gboolean ft_ctl_arguments_parse (FtCtlArguments *arguments, char **argv, GError **error);

/** ft_ctl_arguments_clear: frees what @arguments owns. */
void ft_ctl_arguments_clear (FtCtlArguments *arguments);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (FtCtlArguments, ft_ctl_arguments_clear)
