/* The machines that the leader knows, and names that are gone or drained. */
#pragma once
#include <glib.h>

typedef struct {
  GHashTable *machines; /* name -> FtMachine, owned */
  GHashTable *zones;    /* name -> FtZone, owned */
  GHashTable *gone;     /* names returned or failed */
  GHashTable *drained;  /* names drained by operators */
} FtMachineTable;
