/* Models two nodes that keep copies of a store with two keys. Node 0 reads the
 * store and sends its changes to node 1. These messages may be delayed, lost,
 * repeated or reordered. Node 1 may read the store too.
 *
 * The model checks that the revision of a copy never decreases, and that a copy
 * as of a revision contains, for each key, the item that the store contained at
 * this revision or a newer one.
 */
// breaks: BREAK_GAP BREAK_OLDER_ITEM BREAK_OLDER_STATE
// spin: -DSAFETY -O2 -m200000

#define LAST 3

/* The revision of each key's item, indexed by the revision of the store. */
byte key_a[LAST + 1];
byte key_b[LAST + 1];
byte store_revision = 0;

typedef copy { byte as_of; byte a; byte b };
copy node[2];

/* Each message contains the base and the as_of of a change set, and the revision
 * of each key's item. The revision is 0 if the change set lacks the key. */
chan messages = [2] of { byte, byte, byte, byte };

#define is_consistent(n) (node[n].a >= key_a[node[n].as_of] && node[n].b >= key_b[node[n].as_of])

inline apply(n, from_rev, to_rev, rev_a, rev_b)
{
    atomic {
        if
#ifndef BREAK_GAP
        :: from_rev > node[n].as_of -> skip
#endif
        :: else ->
            if
#ifdef BREAK_OLDER_ITEM
            :: rev_a > 0 -> node[n].a = rev_a
#else
            :: rev_a > node[n].a -> node[n].a = rev_a
#endif
            :: else
            fi;
            if
            :: rev_b > node[n].b -> node[n].b = rev_b
            :: else
            fi;
            if
#ifdef BREAK_OLDER_STATE
            :: true -> node[n].as_of = to_rev
#else
            :: to_rev > node[n].as_of -> node[n].as_of = to_rev
            :: else
#endif
            fi
        fi;
        assert(is_consistent(n))
    }
}

active proctype writer()
{
    do
    :: atomic { store_revision < LAST ->
        store_revision++;
        if
        :: key_a[store_revision] = store_revision; key_b[store_revision] = key_b[store_revision - 1]
        :: key_b[store_revision] = store_revision; key_a[store_revision] = key_a[store_revision - 1]
        fi }
    :: store_revision == LAST -> break
    od
}

active proctype reader()
{
    byte base;
    byte sent_as_of = 0;
end_watch:
    do
    /* The store responds to a watch. */
    :: node[0].as_of < store_revision ->
        base = node[0].as_of;
        apply(0, base, store_revision, key_a[store_revision], key_b[store_revision])
    /* Node 0 sends the changes since the last revision that it sent, unless the
     * message is lost. */
    :: node[0].as_of > sent_as_of ->
        atomic {
            if
            :: nfull(messages) ->
                messages!sent_as_of, node[0].as_of,
                    (node[0].a > sent_as_of -> node[0].a : 0),
                    (node[0].b > sent_as_of -> node[0].b : 0)
            :: skip
            fi;
            sent_as_of = node[0].as_of
        }
    /* Node 1 has requested the whole state. */
    :: nfull(messages) && node[0].as_of > 0 ->
        messages!0, node[0].as_of, node[0].a, node[0].b
    od
}

active proctype follower()
{
    byte base;
    byte received_as_of;
    byte received_a;
    byte received_b;
    byte previous_as_of = 0;
end_wait:
    do
    /* The first message arrives, or it is lost. */
    :: messages?base, received_as_of, received_a, received_b ->
        if
        :: apply(1, base, received_as_of, received_a, received_b)
        :: skip
        fi;
        assert(node[1].as_of >= previous_as_of);
        previous_as_of = node[1].as_of
    /* Two messages change their order. */
    :: atomic { len(messages) == 2 ->
        messages?base, received_as_of, received_a, received_b;
        messages!base, received_as_of, received_a, received_b }
    :: node[1].as_of < store_revision ->
        base = node[1].as_of;
        apply(1, base, store_revision, key_a[store_revision], key_b[store_revision]);
        previous_as_of = node[1].as_of
    od
}
