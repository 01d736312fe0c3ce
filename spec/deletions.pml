/* Models copies of a store with one key that is written and deleted. One of
 * three nodes reads the store whole or watches it, and another one watches it. All get from each other what they lack. Messages between nodes may be
 * delayed, lost or reordered. One node may start again with an empty copy and
 * purge its tombstones.
 *
 * The model checks that a copy as of a revision holds what the store held at that
 * revision or at a later one, so that a deleted item never comes back.
 *
 * The whole is read in pages: the key may be read later than the first page, and
 * what has changed since that page is merged before the state is used. With
 * BREAK_PAGES the state is used with the revision of the first page instead.
 * BREAK_INCREMENTAL and BREAK_OLDER_STATE are the two faults of review/1.
 */
// breaks: BREAK_INCREMENTAL BREAK_OLDER_STATE BREAK_PASSED_ON BREAK_PURGE BREAK_PAGES
// spin: -DSAFETY -DCOLLAPSE -O2 -m400000

#define LAST 3
#define NODES 3
#define READER 0
#define RELAY 1
#define LAST_NODE 2

/* The revision of the key's item as of each revision of the store, or 0 if there
 * is no item, and the revision of the key's last change. */
byte item_at[LAST + 1];
byte changed_at[LAST + 1];
byte store_revision = 1;
bit restarts = 0;

typedef copy {
    byte as_of;
    /* The revision of the item or of the tombstone, or 0 for neither. */
    byte revision;
    bit deleted;
    byte purged_up_to;
    byte span_before;
    byte span_after;
    /* The revision of the first page while a read is under way, or 0. */
    byte first_page;
    /* The page with the key has been read, with this item. */
    bit page_read;
    byte page_item
};
copy node[NODES];

/* receiver, base, as_of, revision (0 if the key is not listed), deleted, lists
 * all deletions */
chan messages = [2] of { byte, byte, byte, byte, bit, bit };

byte later;
byte held;
bit found;

inline check(n)
{
    held = (node[n].deleted -> 0 : node[n].revision);
    later = node[n].as_of;
    found = (node[n].as_of == 0);
    do
    :: found || later > store_revision -> break
    :: else ->
        found = (item_at[later] == held);
        later++
    od;
    later = 0;
    held = 0;
    assert(found)
}

inline apply(n, base, to_revision, item, gone, lists_all)
{
    if
    :: base > node[n].as_of -> skip
    :: else ->
        if
#ifdef BREAK_OLDER_STATE
        :: item > node[n].revision ->
#else
        :: item > node[n].revision && item > node[n].as_of ->
#endif
            node[n].revision = item;
            node[n].deleted = gone
        :: else
        fi;
        if
        :: to_revision > node[n].as_of ->
            if
            :: item == 0 && !node[n].deleted && node[n].revision > base &&
               node[n].revision <= to_revision ->
                node[n].revision = to_revision;
                node[n].deleted = true
            :: else
            fi;
            if
#ifdef BREAK_PASSED_ON
            :: base == 0 ->
#else
            :: base == 0 || !lists_all ->
#endif
                if
                :: node[n].as_of == node[n].span_after -> skip
                :: else ->
                    if
                    :: node[n].span_after > node[n].purged_up_to ->
                        node[n].purged_up_to = node[n].span_after
                    :: else
                    fi;
                    node[n].span_before = node[n].as_of
                fi;
                node[n].span_after = to_revision
            :: else
            fi;
            node[n].as_of = to_revision
        :: else
        fi
    fi;
    check(n)
}

#ifdef BREAK_INCREMENTAL
#define needs_whole(n, base) (base == 0 || base < node[n].purged_up_to)
#else
#define needs_whole(n, base) (base == 0 || base < node[n].purged_up_to || \
    (base > node[n].span_before && base < node[n].span_after))
#endif

inline send(n, to)
{
    if
    :: needs_whole(n, node[to].as_of) ->
        messages!to, 0, node[n].as_of,
            (node[n].deleted -> 0 : node[n].revision), false, true
    :: else ->
        messages!to, node[to].as_of, node[n].as_of,
            (node[n].revision > node[to].as_of -> node[n].revision : 0),
            (node[n].revision > node[to].as_of && node[n].deleted),
            (node[to].as_of >= node[n].span_after)
    fi
}

/* The node has followed the store up to revision 1. */
inline start(n)
{
    node[n].as_of = 1;
    node[n].revision = item_at[1];
    node[n].purged_up_to = 1
}

inline clear(n)
{
    node[n].as_of = 0;
    node[n].revision = 0;
    node[n].deleted = false;
    node[n].purged_up_to = 0;
    node[n].span_before = 0;
    node[n].span_after = 0;
    node[n].first_page = 0
}

proctype writer()
{
    do
    :: atomic { store_revision < LAST ->
        if
        :: item_at[store_revision + 1] = store_revision + 1;
            changed_at[store_revision + 1] = store_revision + 1
        :: item_at[store_revision] != 0 ->
            item_at[store_revision + 1] = 0;
            changed_at[store_revision + 1] = store_revision + 1
        :: item_at[store_revision + 1] = item_at[store_revision];
            changed_at[store_revision + 1] = changed_at[store_revision]
        fi;
        store_revision++ }
    :: store_revision == LAST -> break
    od
}

proctype runner(byte n)
{
    byte base;
    byte other;
    byte item;
    bit gone;
end_run:
    do
    /* The first page of the whole has been read. */
    :: atomic { n == READER && node[n].first_page == 0 && node[n].as_of < store_revision ->
        node[n].first_page = store_revision }
    /* The page with the key has been read. */
    :: atomic { node[n].first_page != 0 && !node[n].page_read ->
#ifdef BREAK_PAGES
        item = item_at[store_revision];
        apply(n, 0, node[n].first_page, item, gone, true);
        node[n].first_page = 0;
        item = 0 }
#else
        node[n].page_item = item_at[store_revision];
        node[n].page_read = true }
    /* A watch has returned what has changed since the first page. */
    :: atomic { node[n].page_read ->
        if
        :: changed_at[store_revision] > node[n].first_page ->
            item = item_at[store_revision]
        :: else -> item = node[n].page_item
        fi;
        apply(n, 0, store_revision, item, gone, true);
        node[n].first_page = 0;
        node[n].page_read = false;
        node[n].page_item = 0;
        item = 0 }
#endif
    /* The store answers a watch. */
    :: atomic { n != RELAY && node[n].as_of != 0 &&
                node[n].as_of < store_revision ->
        base = node[n].as_of;
        if
        :: changed_at[store_revision] > base ->
            item = changed_at[store_revision];
            gone = (item_at[store_revision] == 0)
        :: else
        fi;
        apply(n, base, store_revision, item, gone, true);
        base = 0;
        item = 0;
        gone = false }
    /* The node sends another one what it lacks, as far as it knows. */
    :: atomic { nfull(messages) && node[n].as_of != 0 ->
        if
        :: n != RELAY -> other = RELAY
        :: n != LAST_NODE -> other = LAST_NODE
        fi;
        if
        :: node[other].as_of < node[n].as_of -> send(n, other)
        /* The relay had an empty copy when it asked. */
        :: other == RELAY && restarts == 1 ->
            messages!other, 0, node[n].as_of,
                (node[n].deleted -> 0 : node[n].revision), false, true
        :: else -> skip
        fi;
        other = 0 }
    :: atomic { n == RELAY && node[n].deleted ->
#ifndef BREAK_PURGE
        if
        :: node[n].revision > node[n].purged_up_to ->
            node[n].purged_up_to = node[n].revision
        :: else
        fi;
#endif
        node[n].revision = 0;
        node[n].deleted = false }
    :: atomic { n == RELAY && restarts == 0 && node[n].as_of != 0 ->
        restarts = 1;
        clear(n) }
    od
}

active proctype network()
{
    byte to;
    byte base;
    byte to_revision;
    byte item;
    bit gone;
    bit lists_all;
end_wait:
    do
    /* A message arrives, is lost, or is overtaken by the next one. */
    :: atomic { messages?to, base, to_revision, item, gone, lists_all ->
        if
        :: apply(to, base, to_revision, item, gone, lists_all)
        :: skip
        :: nempty(messages) ->
            messages!to, base, to_revision, item, gone, lists_all
        fi;
        to = 0; base = 0; to_revision = 0; item = 0; gone = false;
        lists_all = false }
    od
}

init
{
    atomic {
        if
        :: item_at[1] = 1;
            changed_at[1] = 1
        :: skip
        fi;
        start(0);
        start(1);
        start(2);
        run writer();
        run runner(0);
        run runner(1);
        run runner(2)
    }
}
