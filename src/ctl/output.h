/**
 * SECTION:output
 * @title: Output of flintctl
 *
 * Formats answers of the administration API on standard output, as aligned text for people or as JSON for programs.
 * Scripts parse both: widths, separators and the order of fields (that of the answer) must not change.
 * It knows no command and sends nothing; the commands call it.
 */
#pragma once
#include <jansson.h>

/**
 * FtCtlFormat:
 * @FT_CTL_FORMAT_TEXT: fields and tables
 * @FT_CTL_FORMAT_JSON: the answer as it came, indented
 */
typedef enum {
  FT_CTL_FORMAT_TEXT,
  FT_CTL_FORMAT_JSON,
} FtCtlFormat;

/**
 * ft_ctl_print_fields:
 * @object: (nullable): a JSON object; %NULL prints nothing
 *
 * Prints one line "name value" for each field of @object that is neither an array nor an object.
 */
void ft_ctl_print_fields (const json_t *object);

/**
 * ft_ctl_print_table:
 * @rows: (nullable): a JSON array of objects
 *
 * Prints @rows as a table with the fields of the first row, in their order, as columns. Without rows: "none".
 */
void ft_ctl_print_table (const json_t *rows);

/**
 * ft_ctl_print_answer:
 * @format: text or JSON
 * @answer: a JSON object
 * @list: (nullable): the field of @answer that is printed as a table below the others; not used for JSON
 *
 * Prints a whole answer.
 */
void ft_ctl_print_answer (FtCtlFormat format, const json_t *answer, const char *list);
