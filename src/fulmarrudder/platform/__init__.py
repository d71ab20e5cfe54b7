"""Adapter to the users' platform: its words, its store, its wire.

Each module decodes one side of the platform into the product's types and
translates them back. Nothing here decides, and nothing outside names anything
of the platform.

    settings   the machine's settings file
    wire       header fields of callers and targets
    config     the operator's configuration
    rollout    the operator's rollouts, and their status
    beats      what targets say of themselves
    store      client of the platform's store
    operator   tails the operator's records
    directory  where instances find each other
    lease      who may advance moves
    http       the platform's calls to this node
    daemon     joins them with the product's node
"""
