"""Configuration distribution for a service mesh.

The packages are pipelines, their modules filters:

* `log`: the platform's log to records, and records to the log.
* `fold`: records to state and outcomes.
* `distribution`: state from relays down a tree of nodes.
* `membership`: announcements to a directory.
* `call`: a caller's bytes to a target, and the answer back.
* `move`: evidence to decisions on a move.
* `operate`: commands to records, state to tables.
* `node`: the daemon that joins them.
"""

__version__ = "0.1.0"
