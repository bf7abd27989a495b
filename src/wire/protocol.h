/**
 * SECTION: protocol
 * @title: The protocol's words
 *
 * The protocol has words of its own for what the rest of this program names in the terms of the
 * field. Each is mapped here, once: the constant has the field's term, its value is the field's
 * name in messages of users, workers and the cloud. Only code in src/wire uses them.
 *
 * The words of values (priorities, kinds, states) are in the tables of messages.c and cloud.c;
 * those of the key-value store's messages are in store_messages.c.
 */
#pragma once

/* Machines. */
#define FT_WIRE_MACHINE "hearth"               /* name of a machine */
#define FT_WIRE_MACHINES "hearths"             /* machines of a launch, of a scale-in, or of the cloud's list */
#define FT_WIRE_LISTED_NAME "ref"              /* name of a machine in the cloud's list */
#define FT_WIRE_ADDRESS "address"              /* where a machine takes direct requests, as HOST:PORT */
#define FT_WIRE_MACHINE_TYPE "build"           /* machine type */
#define FT_WIRE_MACHINE_TYPES "builds"         /* machine types that a job accepts, or of the catalog */
#define FT_WIRE_ZONE "yard"                    /* availability zone */
#define FT_WIRE_ZONES "yards"                  /* zones in which a machine type is offered */
#define FT_WIRE_SPOT "loaners"                 /* spot instances: may be interrupted by the cloud */
#define FT_WIRE_STATE "standing"               /* state of a job, a task or a machine */
#define FT_WIRE_INTERRUPTION_NOTICE "recall_s" /* seconds until a spot instance is taken away */

/* Jobs as submitted. */
#define FT_WIRE_JOB_REF "ref"                    /* a job's ref, chosen by the user */
#define FT_WIRE_JOB_CLASS "lane"                 /* job class, by which objectives are counted */
#define FT_WIRE_TEAM "crew"                      /* team, to which quotas apply */
#define FT_WIRE_KIND "shape"                     /* kind: array, gang or service */
#define FT_WIRE_PRIORITY "urgency"               /* priority */
#define FT_WIRE_CPUS "cores"                     /* CPUs of a task, or of a machine type */
#define FT_WIRE_GPUS "cards"                     /* GPUs of a task, or of a machine type */
#define FT_WIRE_MEMORY "mem_gb"                  /* memory of a task, or of a machine type */
#define FT_WIRE_IMAGE "bundle"                   /* container image */
#define FT_WIRE_IMAGE_SIZE "pull_gb"             /* size of the image */
#define FT_WIRE_ESTIMATE "guess_s"               /* estimated run time of a task */
#define FT_WIRE_CHECKPOINT_INTERVAL "bookmark_s" /* seconds between two checkpoints; 0: none */
#define FT_WIRE_CHECKPOINT_DURATION "shelve_s"   /* seconds that writing a checkpoint takes */
#define FT_WIRE_DEADLINE "due_s"                 /* seconds from the submission to the deadline */
#define FT_WIRE_ONE_ZONE "one_zone"              /* all tasks in the same zone */
#define FT_WIRE_SPREAD "apart"                   /* no two tasks on the same machine */
#define FT_WIRE_DEPENDENCIES "awaits"            /* refs of the jobs that must be done first */

/* A job's state, in answers to users. */
#define FT_WIRE_TASKS_DONE "done"
#define FT_WIRE_TASKS_RUNNING "running"

/* Tasks. */
#define FT_WIRE_TASKS "pieces"      /* number of a job's tasks, or the tasks on a machine */
#define FT_WIRE_TASK "piece"        /* name of a task, as "req-000412/3" */
#define FT_WIRE_ATTEMPT "try"       /* attempt number of a task */
#define FT_WIRE_EXIT_REASON "cause" /* why an attempt has exited */

/* Worker heartbeats, their answers, and direct requests to machines. */
#define FT_WIRE_INCARNATION "shift"     /* the agent's incarnation */
#define FT_WIRE_SEQUENCE "tally"        /* number of the heartbeat within the incarnation */
#define FT_WIRE_FENCING_TOKEN "baton"   /* the leader's fencing token; of a heartbeat, the highest seen */
#define FT_WIRE_COMMANDS "orders"       /* commands for tasks */
#define FT_WIRE_COMMAND "verb"          /* what a command does: start, stop or forget */
#define FT_WIRE_GRACE_PERIOD "leeway_s" /* seconds that a stopped task has to write a checkpoint */
#define FT_WIRE_LEADER "answers_to"     /* address of the leader, in a redirect */

/* The cloud. */
#define FT_WIRE_IDEMPOTENCY_KEY "booking"   /* a scale-out repeated with the same key launches nothing more */
#define FT_WIRE_COUNT "how_many"            /* machines to launch */
#define FT_WIRE_MORE "more"                 /* whether the list has another page */
#define FT_WIRE_AGE "held_s"                /* seconds since the machine's launch */
#define FT_WIRE_TYPE_NAME "name"            /* name of a machine type in the catalog */
#define FT_WIRE_BOOT_TIME "ready_s"         /* seconds from launch to first heartbeat */
#define FT_WIRE_PRICE "price"               /* price of an on-demand machine an hour */
#define FT_WIRE_SPOT_PRICE "market_price"   /* price of a spot instance an hour */
#define FT_WIRE_IMAGE_CACHE_SIZE "local_gb" /* size of a machine's cache of images */
#define FT_WIRE_FETCH_RATE "fetch_gb_per_s" /* rate at which a machine fetches images */
