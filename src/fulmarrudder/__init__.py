"""Configuration distribution system and proxy for a service mesh.

The packages are pipelines, and their modules filters:

* `log`: reads records from the platform's log, and appends records to it.
* `state_machine`: applies records to the replicated state.
* `distribution`: sends the state from relays down a tree of nodes.
* `membership`: stores the presences of nodes and other facts they broadcast.
* `call`: proxies a caller's request to a target, and the answer back.
* `move`: decides on the next step of a move from its evidence.
* `operate`: turns operators' commands into records, and state into tables.

The others support these pipelines, or connect them:

* `model`: data classes of the configuration, the log's records and facts.
* `observe`: logs, metrics and spans.
* `platform`: adapter to the platform that the mesh runs on.
* `node`: the daemon and the node, which connects the pipelines.

Modules that several of them use:

* `pipe`: runs the filters of a pipeline one after another.
* `border`: encodes and validates data classes where they cross a border.
* `clock`, `reactor`: the time, and the event loop of the daemons.
* `site`, `pages`, `bounded`: HTTP servers of `twisted.web`, with bounded bodies.
* `http`: bodies for its client.
"""

__version__ = "0.1.0"
