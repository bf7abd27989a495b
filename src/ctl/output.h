/**
 * SECTION:output
 * @title: Output of flintctl
 *
 * Prints answers of the administration API on standard output, as aligned text for people or as JSON for programs.
 * Scripts parse both formats, so the widths, the separators and the order of fields must not change. Fields are printed
 * in the order of the answer. The commands (commands.c) call this module.
 */
#pragma once
#include <jansson.h>

/**
 * FtCtlFormat:
 * @FT_CTL_FORMAT_TEXT: one line for each field, and lists as tables
 * @FT_CTL_FORMAT_JSON: the answer of the controller as indented JSON
 *
 * The format in which answers are printed.
 */
typedef enum {
  FT_CTL_FORMAT_TEXT,
  FT_CTL_FORMAT_JSON,
} FtCtlFormat;

/**
 * ft_ctl_print_fields:
 * @object: (nullable): a JSON object; %NULL prints nothing
 *
 * Prints a line with name and value for each field of @object. Fields that are arrays or objects are skipped.
 */
void ft_ctl_print_fields (const json_t *object);

/**
 * ft_ctl_print_table:
 * @rows: (nullable): a JSON array of objects
 *
 * Prints @rows as a table. The columns are the fields of the first row, in their order. Prints "none" if there are no
 * rows.
 */
void ft_ctl_print_table (const json_t *rows);

/**
 * ft_ctl_print_answer:
 * @format: text or JSON
 * @answer: a JSON object
 * @list: (nullable): name of the field of @answer that is printed as a table below the other fields; ignored for JSON
 *
 * Prints the answer of a controller.
 */
void ft_ctl_print_answer (FtCtlFormat format, const json_t *answer, const char *list);
