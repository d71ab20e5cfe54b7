"""Adapter to the platform that the mesh runs on.

Each module decodes one of the platform's formats into the product's types and
encodes the replies. The modules make no decisions, and no code outside this
package uses the platform's names.

    field_types       field types that several documents share
    settings          the machine's settings file
    header_names      header fields of callers and targets
    config            the operator's configuration
    rollout           the operator's rollouts (moves) and their status
    heartbeats        heartbeats of targets
    store             client of the platform's store
    tail              long-polls a topic of the store
    operator_records  passes the operator's records to the node
    directory         addresses of the nodes
    lease             lease of the controller's duty
    http              HTTP endpoints that the platform and targets call
    daemon            runs the node on the platform
    __main__          starts the daemon
"""
