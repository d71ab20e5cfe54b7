"""A node holds a document of the operator as a whole, or the one before it."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarrudder.distribution.entries import (
    Entries,
    apply_change,
    change_between,
    entries_of,
)

TEXTS = st.sets(st.sampled_from([f"route {i}" for i in range(12)]), min_size=1)
NODES = 3


def change_of(old, new, base=1, version=2):
    return change_between(
        entries_of(old, Entries()),
        entries_of(new, Entries()),
        base=base,
        version=version,
    )


class Node:
    """A node that is told changes, and asks for the whole document at times."""

    def __init__(self):
        self.version, self.entries = 0, Entries()

    def receive(self, change):
        if not change.base <= self.version < change.version:
            return
        changed = apply_change(self.entries, change)
        if changed.is_ok():
            self.version, self.entries = change.version, changed.ok

    def read(self, version, texts):
        if version > self.version:
            self.version = version
            self.entries = entries_of(texts, self.entries)


@given(TEXTS, TEXTS)
def test_change_leads_from_one_document_to_the_other(old, new):
    changed = apply_change(entries_of(old, Entries()), change_of(old, new))
    assert set(changed.ok.ids) == new
    assert changed.ok == entries_of(sorted(new), Entries())


@given(TEXTS, TEXTS, TEXTS)
def test_change_on_another_base_leads_to_its_document_or_is_refused(
    old, new, other
):
    changed = apply_change(entries_of(other, Entries()), change_of(old, new))
    assert changed.is_error() or set(changed.ok.ids) == new


# Readers skip versions, each others; changes are lost, doubled and late, and nodes
# start afresh.
@settings(deadline=None, max_examples=150)
@given(st.lists(TEXTS, min_size=2, max_size=8), st.integers(0, 1 << 32))
def test_each_node_holds_a_document_of_the_operator_and_no_other(
    documents, seed
):
    rng = random.Random(seed)
    nodes = [Node() for _ in range(NODES)]
    under_way = []
    for version in range(1, len(documents) + 1):
        base = rng.randrange(0, version)
        old = documents[base - 1] if base else set()
        change = change_of(old, documents[version - 1], base, version)
        for node in range(NODES):
            copies = rng.choice([0, 1, 1, 2])
            under_way += [(node, change)] * copies
        rng.shuffle(under_way)
        for _ in range(rng.randrange(len(under_way) + 1)):
            node, change = under_way.pop()
            nodes[node].receive(change)
        event = rng.randrange(4)
        if event == 0:
            nodes[rng.randrange(NODES)] = Node()
        if event == 1:
            read = rng.randrange(1, version + 1)
            nodes[rng.randrange(NODES)].read(read, documents[read - 1])
        for node in nodes:
            held = documents[node.version - 1] if node.version else set()
            assert set(node.entries.ids) == held
    for node, change in under_way:
        nodes[node].receive(change)
    for node in nodes:
        node.read(len(documents), documents[-1])
        assert set(node.entries.ids) == documents[-1]


@pytest.mark.parametrize("entry_id", ["", "x", "0" * 31 + "g"])
def test_change_that_names_no_id_is_refused(entry_id):
    change = change_of({"a"}, {"b"})
    odd = type(change)(
        base=1,
        version=2,
        digest=change.digest,
        removed=(entry_id,),
        added=change.added,
    )
    assert apply_change(entries_of(["a"], Entries()), odd).is_error()
