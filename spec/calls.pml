/* A call that is not idempotent, between the caller's node and the nodes beside
 * two workers. Connections break at any moment, the deadline passes at any
 * moment, and a worker may lose an answer.
 *
 * Checked: the call runs at most once, and a caller that is told "not run" is
 * told the truth, then and later.
 */
// breaks: BREAK_RETRY_AFTER_LOSS BREAK_PROMISE_AT_DEADLINE BREAK_REFUSE_AFTER_RUN BREAK_RETRY_AFTER_FAILURE
// spin: -DSAFETY -O2 -m100000

#define OWNERS 2

mtype = { offer, cancel, refused, answered, failed, lost };
mtype = { none, success, not_run, unknown };

chan to_owner[OWNERS] = [2] of { mtype };
chan to_ingress[OWNERS] = [2] of { mtype };

byte runs = 0;
mtype told = none;

active proctype ingress()
{
    byte at = 0;
    bool sent = false;
    mtype answer;

try:
    if
    :: at == OWNERS -> told = not_run; goto over
    :: else
    fi;
    if
    :: sent = true; to_owner[at]!offer
    /* The connection could not be made. */
    :: sent = false; at++; goto try
    fi;
    if
    :: to_ingress[at]?answer ->
        if
        :: answer == refused -> at++; goto try
        :: answer == answered -> told = success
        :: answer == failed ->
#ifdef BREAK_RETRY_AFTER_FAILURE
            at++; goto try
#else
            told = unknown
#endif
        :: answer == lost ->
#ifdef BREAK_RETRY_AFTER_LOSS
            at++; goto try
#else
            told = unknown
#endif
        fi
    /* The deadline passes. */
    :: to_owner[at]!cancel;
#ifdef BREAK_PROMISE_AT_DEADLINE
        told = not_run
#else
        told = unknown
#endif
    fi;
over:
    skip
}

active [OWNERS] proctype owner()
{
    byte me = _pid - 1;

end_idle:
    to_owner[me]?offer;
    if
    /* Full, leaving or too late. */
    :: to_ingress[me]!refused
    /* The connection breaks while the call waits: it is dropped. */
    :: to_ingress[me]!lost
    :: to_owner[me]?cancel
    /* A slot is free. */
    :: runs++;
        if
        :: to_ingress[me]!answered
        :: to_ingress[me]!failed
        /* The connection breaks while the call runs: the run goes on. */
        :: to_ingress[me]!lost
#ifdef BREAK_REFUSE_AFTER_RUN
        :: to_ingress[me]!refused
#endif
        fi
    fi;
end_over:
    do
    :: to_owner[me]?cancel
    od
}

active proctype monitor()
{
end_watch:
    do
    :: atomic { runs > 1 -> assert(false) }
    :: atomic { told == not_run && runs > 0 -> assert(false) }
    od
}
