/* Models one non-idempotent call, which the caller's node (ingress) offers to
 * the nodes beside two workers (owners). Connections may break at any time, the
 * deadline may pass at any time, and the response of a worker may be lost.
 *
 * The model checks that the call runs at most once, and that a call which was
 * reported to the caller as not run has not run and never runs later.
 */
// breaks: BREAK_RETRY_AFTER_LOSS BREAK_PROMISE_AT_DEADLINE BREAK_REFUSE_AFTER_RUN BREAK_RETRY_AFTER_FAILURE
// spin: -DSAFETY -O2 -m100000

#define OWNERS 2

mtype = { offer, cancel, refused, answered, failed, connection_lost };
mtype = { none, success, not_run, unknown };

chan to_owner[OWNERS] = [2] of { mtype };
chan to_ingress[OWNERS] = [2] of { mtype };

byte runs = 0;
mtype reported_result = none;

active proctype ingress()
{
    byte target = 0;
    bool sent = false;
    mtype reply;

try_target:
    if
    :: target == OWNERS -> reported_result = not_run; goto done
    :: else
    fi;
    if
    :: sent = true; to_owner[target]!offer
    /* The connection to the owner cannot be established. */
    :: sent = false; target++; goto try_target
    fi;
    if
    :: to_ingress[target]?reply ->
        if
        :: reply == refused -> target++; goto try_target
        :: reply == answered -> reported_result = success
        :: reply == failed ->
#ifdef BREAK_RETRY_AFTER_FAILURE
            target++; goto try_target
#else
            reported_result = unknown
#endif
        :: reply == connection_lost ->
#ifdef BREAK_RETRY_AFTER_LOSS
            target++; goto try_target
#else
            reported_result = unknown
#endif
        fi
    /* The deadline passes, so the ingress cancels the call. */
    :: to_owner[target]!cancel;
#ifdef BREAK_PROMISE_AT_DEADLINE
        reported_result = not_run
#else
        reported_result = unknown
#endif
    fi;
done:
    skip
}

active [OWNERS] proctype owner()
{
    byte self = _pid - 1;

end_idle:
    to_owner[self]?offer;
    if
    /* The owner refuses the call: its queue is full, it is draining, or the
     * deadline is too near. */
    :: to_ingress[self]!refused
    /* The connection breaks while the call is queued. The call is removed. */
    :: to_ingress[self]!connection_lost
    :: to_owner[self]?cancel
    /* A slot is free, so the call runs. */
    :: runs++;
        if
        :: to_ingress[self]!answered
        :: to_ingress[self]!failed
        /* The connection breaks while the call runs. The run is not aborted. */
        :: to_ingress[self]!connection_lost
#ifdef BREAK_REFUSE_AFTER_RUN
        :: to_ingress[self]!refused
#endif
        fi
    fi;
end_done:
    do
    :: to_owner[self]?cancel
    od
}

active proctype monitor()
{
end_monitor:
    do
    :: atomic { runs > 1 -> assert(false) }
    :: atomic { reported_result == not_run && runs > 0 -> assert(false) }
    od
}
