/* Worker tokens: the tokens that commands to workers carry.
 *
 * A worker executes a direct command, however late a copy of it arrives, as long as its incarnation lasts and it has
 * seen no higher token. A leadership therefore has a range of tokens. It begins with the first one on every machine and
 * renews the token of a machine, that is, it goes on with the next one, to make the direct commands that it has sent to
 * that machine harmless: they are refused once the worker has seen the next token.
 *
 * The last token of the range is the fencing token in the fence row. The next leadership takes higher ones only, so all
 * commands of a former leadership are refused once a worker has seen any token of its successor. */
#pragma once
#include <glib.h>

/* The worker tokens of a leadership. */
typedef struct {
  guint64 first;
  guint64 last; /* the fencing token */
} FtWorkerTokenRange;

/* Returns the range of the leadership that follows the one with the fencing token `previous`; 0: there was none. */
FtWorkerTokenRange ft_worker_token_range_after (guint64 previous);

/* The worker tokens of one machine. */
typedef struct {
  guint64 current; /* the token that commands to the worker carry */
  guint64 shown;   /* the highest token of this leadership that a status of the worker has shown; 0: none yet */
} FtWorkerToken;

/* Records that the newest status of the worker shows `token`, which is one of this leadership. */
void ft_worker_token_record (FtWorkerToken *worker_token, guint64 token);

/* Lets commands to the worker carry the next token. Returns FALSE if `last`, the last token of the leadership, is in
 * use already. */
gboolean ft_worker_token_renew (FtWorkerToken *worker_token, guint64 last);
