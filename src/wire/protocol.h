/**
 * SECTION: protocol
 * @title: Field names of the protocol
 *
 * The protocol uses names of its own instead of many usual terms of cluster scheduling. Each constant
 * here is named after the usual term; its value is the field's name in messages of users, workers and
 * the cloud. Only code in src/wire uses these constants.
 *
 * The protocol's names for values (priorities, kinds, states) are in the tables of messages.c and in
 * cloud.c. The field names of the key-value store's messages are in store_messages.c.
 */
#pragma once

/* Fields of machines. */
#define FT_WIRE_MACHINE "hearth"       /* name of a machine */
#define FT_WIRE_MACHINES "hearths"     /* list of machines, in a launch, a scale-in or the cloud's list */
#define FT_WIRE_LISTED_NAME "ref"      /* name of a machine in the cloud's list */
#define FT_WIRE_ADDRESS "address"      /* address at which a machine accepts direct requests, as HOST:PORT */
#define FT_WIRE_MACHINE_TYPE "build"   /* name of a machine type */
#define FT_WIRE_MACHINE_TYPES "builds" /* machine types that a job accepts, or machine types of the catalog */
#define FT_WIRE_ZONE "yard"            /* availability zone */
#define FT_WIRE_ZONES "yards"          /* zones in which a machine type is offered */
#define FT_WIRE_SPOT "loaners"         /* whether a machine is a spot instance, or a job accepts spot instances */
#define FT_WIRE_STATE "standing"       /* state of a job, a task or a machine */
#define FT_WIRE_INTERRUPTION_NOTICE "recall_s" /* seconds until the cloud takes a spot instance away */

/* Fields of a submitted job. */
#define FT_WIRE_JOB_REF "ref"                    /* ref of a job: its unique name, chosen by the user */
#define FT_WIRE_JOB_CLASS "lane"                 /* job class, for which service objectives are measured */
#define FT_WIRE_TEAM "crew"                      /* team, to which quotas apply */
#define FT_WIRE_KIND "shape"                     /* kind of a job: array, gang or service */
#define FT_WIRE_PRIORITY "urgency"               /* priority of a job */
#define FT_WIRE_CPUS "cores"                     /* CPUs of a task or of a machine type */
#define FT_WIRE_GPUS "cards"                     /* GPUs of a task or of a machine type */
#define FT_WIRE_MEMORY "mem_gb"                  /* memory of a task or of a machine type, in GB */
#define FT_WIRE_IMAGE "bundle"                   /* name of the container image */
#define FT_WIRE_IMAGE_SIZE "pull_gb"             /* size of the container image, in GB */
#define FT_WIRE_ESTIMATE "guess_s"               /* estimated run time of a task, in seconds */
#define FT_WIRE_CHECKPOINT_INTERVAL "bookmark_s" /* seconds between two checkpoints; 0: no checkpoints */
#define FT_WIRE_CHECKPOINT_DURATION "shelve_s"   /* seconds that a task needs to write a checkpoint */
#define FT_WIRE_DEADLINE "due_s"                 /* seconds from the submission to the deadline */
#define FT_WIRE_ONE_ZONE "one_zone"              /* whether all tasks must run in the same zone */
#define FT_WIRE_SPREAD "apart"                   /* whether no two tasks may run on the same machine */
#define FT_WIRE_DEPENDENCIES "awaits"            /* refs of the jobs that must be done before this job starts */

/* Fields of the answer to a user's request for the state of a job. */
#define FT_WIRE_TASKS_DONE "done"       /* number of the job's tasks that are done */
#define FT_WIRE_TASKS_RUNNING "running" /* number of the job's tasks that are running */

/* Fields of tasks. */
#define FT_WIRE_TASKS "pieces"      /* number of tasks of a job, or list of tasks on a machine */
#define FT_WIRE_TASK "piece"        /* name of a task, like "req-000412/3" */
#define FT_WIRE_ATTEMPT "try"       /* number of the attempt to run a task */
#define FT_WIRE_EXIT_REASON "cause" /* why an attempt has exited */

/* Fields of worker heartbeats, of the answers to them, and of direct requests to machines. */
#define FT_WIRE_INCARNATION "shift"     /* incarnation of the worker's agent; only rises */
#define FT_WIRE_SEQUENCE "tally"        /* number of the heartbeat within the incarnation */
#define FT_WIRE_FENCING_TOKEN "baton"   /* the leader's fencing token; in a heartbeat, the highest that a worker saw */
#define FT_WIRE_COMMANDS "orders"       /* list of commands for tasks */
#define FT_WIRE_COMMAND "verb"          /* operation of a command: start, stop or forget */
#define FT_WIRE_GRACE_PERIOD "leeway_s" /* seconds in which a stopped task may write a checkpoint */
#define FT_WIRE_LEADER "answers_to"     /* address of the leader, in a follower's answer */

/* Fields of messages to and from the cloud. */
#define FT_WIRE_IDEMPOTENCY_KEY "booking"   /* a repeated scale-out with the same key launches no more machines */
#define FT_WIRE_COUNT "how_many"            /* number of machines to launch */
#define FT_WIRE_MORE "more"                 /* whether the list continues on another page */
#define FT_WIRE_AGE "held_s"                /* seconds since the launch of the machine */
#define FT_WIRE_TYPE_NAME "name"            /* name of a machine type in the catalog */
#define FT_WIRE_BOOT_TIME "ready_s"         /* seconds from the launch of a machine to its first heartbeat */
#define FT_WIRE_PRICE "price"               /* price of an on-demand machine for one hour */
#define FT_WIRE_SPOT_PRICE "market_price"   /* price of a spot instance for one hour */
#define FT_WIRE_IMAGE_CACHE_SIZE "local_gb" /* size of a machine's cache of container images, in GB */
#define FT_WIRE_FETCH_RATE "fetch_gb_per_s" /* rate at which a machine fetches container images, in GB/s */
