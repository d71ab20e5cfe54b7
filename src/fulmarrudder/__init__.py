"""Configuration distribution system and proxy for a service mesh.

Each package is a pipeline, and its modules are filters:

* `log`: reads records from the platform's log and appends records to it.
* `state_machine`: applies records to the state.
* `distribution`: sends the state from relays down a tree of nodes.
* `membership`: keeps the directory of nodes from their announcements.
* `call`: proxies a caller's request to a target, and the answer back.
* `move`: decides on the next step of a move from its evidence.
* `operate`: turns commands into records, and state into tables.
* `node`: the daemon that joins them.
"""

__version__ = "0.1.0"
