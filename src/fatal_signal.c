#include "fatal_signal.h"

#include <execinfo.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

/* Bytes of the stack on which the handlers run, so that they also run after an overflow of the normal stack. */
#define HANDLER_STACK_BYTES 65536
/* Maximum number of calling functions in the line. */
#define FRAMES_MAX 24
/* Bytes of the line, including the frames. */
#define LINE_BYTES 1024
/* Bytes of the copy of the controller's name. */
#define MEMBER_BYTES 128
/* Bytes of a number in hexadecimal, at most: two digits a byte. */
#define HEX_DIGITS_MAX (2 * sizeof (guintptr))

typedef struct {
  int number;
  const char *name;
} FatalSignal;

static const FatalSignal fatal_signals[] = {
  { SIGSEGV, "SIGSEGV" }, { SIGBUS, "SIGBUS" },   { SIGFPE, "SIGFPE" },
  { SIGILL, "SIGILL" },   { SIGABRT, "SIGABRT" }, { SIGTRAP, "SIGTRAP" },
};

static char member_name[MEMBER_BYTES];
static guint8 handler_stack[HANDLER_STACK_BYTES];

/* The beginning of the program in memory, defined by the linker. */
extern const char executable_start[] __asm__("__executable_start");

/* A line that is composed without any function that is unsafe in a signal handler. */
typedef struct {
  char text[LINE_BYTES];
  gsize length;
} Line;

static void
append_text (Line *line, const char *text)
{
  for (; *text != '\0' && line->length < LINE_BYTES - 1; text++)
    line->text[line->length++] = *text;
}

static void
append_hex (Line *line, guintptr value)
{
  char digits[HEX_DIGITS_MAX + 1] = { 0 };
  gsize first = HEX_DIGITS_MAX;
  do {
    digits[--first] = "0123456789abcdef"[value % 16];
    value /= 16;
  } while (value > 0);
  append_text (line, "0x");
  append_text (line, &digits[first]);
}

/* Appends the addresses of the calling functions, relative to the program where they lie behind its beginning: so
 * "addr2line -f -e flintrack" finds them. */
static void
append_frames (Line *line)
{
  void *frames[FRAMES_MAX];
  guintptr program_base = (guintptr) executable_start;
  int count = backtrace (frames, FRAMES_MAX);
  for (int i = 0; i < count; i++) {
    guintptr address = (guintptr) frames[i];
    append_text (line, " ");
    append_hex (line, address > program_base ? address - program_base : address);
  }
}

static const char *
signal_name (int number)
{
  for (guint i = 0; i < G_N_ELEMENTS (fatal_signals); i++)
    if (fatal_signals[i].number == number)
      return fatal_signals[i].name;
  return "unknown signal";
}

/* Writes the line. The handler was reset to the default when the signal came (SA_RESETHAND), so the signal that is
 * raised here, or the repetition of the faulting instruction, ends the process. */
static void
on_fatal_signal (int number, siginfo_t *info, void *context)
{
  Line line = { .length = 0 };
  (void) context;
  append_text (&line, member_name);
  append_text (&line, " error ended by ");
  append_text (&line, signal_name (number));
  append_text (&line, " at address ");
  append_hex (&line, (guintptr) info->si_addr);
  append_text (&line, ", called from");
  append_frames (&line);
  line.text[line.length++] = '\n';
  ssize_t written = write (STDERR_FILENO, line.text, line.length);
  (void) written;
  raise (number);
}

static void
install_handler (int number)
{
  struct sigaction present, wanted = { .sa_sigaction = on_fatal_signal, .sa_flags = SA_SIGINFO | SA_ONSTACK };
  wanted.sa_flags |= (int) SA_RESETHAND;
  sigemptyset (&wanted.sa_mask);
  if (sigaction (number, NULL, &present) == 0 && present.sa_handler == SIG_DFL)
    sigaction (number, &wanted, NULL);
}

void
ft_fatal_signal_report (const char *member)
{
  void *frame;
  stack_t stack = { .ss_sp = handler_stack, .ss_size = sizeof handler_stack };
  g_strlcpy (member_name, member, sizeof member_name);
  backtrace (&frame, 1); /* the first call allocates memory, which a handler must not do */
  sigaltstack (&stack, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (fatal_signals); i++)
    install_handler (fatal_signals[i].number);
}
