/* Two nodes that keep copies of a store with two keys. Node 0 reads the store
 * and passes on what it holds; node 1 gets changes that may be late, lost,
 * repeated or out of order, and may read the store as well.
 *
 * Checked: a copy never goes back, and a copy as of a revision holds what the
 * store held then, for each key or something newer.
 */
// breaks: BREAK_GAP BREAK_OLDER_ITEM BREAK_OLDER_STATE
// spin: -DSAFETY -O2 -m200000

#define LAST 3

/* Revision of each key at each revision of the store. */
byte key_a[LAST + 1];
byte key_b[LAST + 1];
byte store = 0;

typedef copy { byte as_of; byte a; byte b };
copy node[2];

/* base, as_of and the revisions of the keys; 0 where a key is not named. */
chan wire = [2] of { byte, byte, byte, byte };

#define holds(n) (node[n].a >= key_a[node[n].as_of] && node[n].b >= key_b[node[n].as_of])

inline apply(who, from_rev, to_rev, rev_a, rev_b)
{
    atomic {
        if
#ifndef BREAK_GAP
        :: from_rev > node[who].as_of -> skip
#endif
        :: else ->
            if
#ifdef BREAK_OLDER_ITEM
            :: rev_a > 0 -> node[who].a = rev_a
#else
            :: rev_a > node[who].a -> node[who].a = rev_a
#endif
            :: else
            fi;
            if
            :: rev_b > node[who].b -> node[who].b = rev_b
            :: else
            fi;
            if
#ifdef BREAK_OLDER_STATE
            :: true -> node[who].as_of = to_rev
#else
            :: to_rev > node[who].as_of -> node[who].as_of = to_rev
            :: else
#endif
            fi
        fi;
        assert(holds(who))
    }
}

active proctype operator()
{
    do
    :: atomic { store < LAST ->
        store++;
        if
        :: key_a[store] = store; key_b[store] = key_b[store - 1]
        :: key_b[store] = store; key_a[store] = key_a[store - 1]
        fi }
    :: store == LAST -> break
    od
}

active proctype reader()
{
    byte base;
    byte sent = 0;
end_watch:
    do
    /* A watch is answered. */
    :: node[0].as_of < store ->
        base = node[0].as_of;
        apply(0, base, store, key_a[store], key_b[store])
    /* What is new since a revision that the peer was told goes out. */
    :: node[0].as_of > sent ->
        atomic {
            if
            :: nfull(wire) ->
                wire!sent, node[0].as_of, (node[0].a > sent -> node[0].a : 0), (node[0].b > sent -> node[0].b : 0)
            :: skip
            fi;
            sent = node[0].as_of
        }
    /* The peer asks for the whole state. */
    :: nfull(wire) && node[0].as_of > 0 ->
        wire!0, node[0].as_of, node[0].a, node[0].b
    od
}

active proctype follower()
{
    byte base;
    byte got_as_of;
    byte got_a;
    byte got_b;
    byte before = 0;
end_wait:
    do
    /* Any message that waits may come next, or be lost. */
    :: wire?base, got_as_of, got_a, got_b ->
        if
        :: apply(1, base, got_as_of, got_a, got_b)
        :: skip
        fi;
        assert(node[1].as_of >= before);
        before = node[1].as_of
    :: atomic { len(wire) == 2 -> wire?base, got_as_of, got_a, got_b; wire!base, got_as_of, got_a, got_b }
    :: node[1].as_of < store ->
        base = node[1].as_of;
        apply(1, base, store, key_a[store], key_b[store]);
        before = node[1].as_of
    od
}
