"""The reactor of the daemons: Twisted's epoll reactor without log contexts.

Twisted runs the handler of each event in a context that names the connection in
its log. The daemons' logs have no such field, and a call takes six events.

Twisted also takes an error event without input for an orderly close. Here a read
decides which it is.
"""

import select

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

DISCONNECTED = select.EPOLLERR | select.EPOLLHUP


class Reactor(EPollReactor):
    """Runs the handlers of events directly."""

    def doPoll(self, timeout):  # noqa: N802
        """Waits for events and runs their handlers.

        An exception of a handler is logged, and its connection closed, before
        it gets here.

        Args:
            timeout: Most seconds to wait, or None to wait for an event.
        """
        try:
            events = self._poller.poll(timeout, max(1, len(self._selectables)))
        except InterruptedError:
            return
        for descriptor, event in events:
            # An earlier handler may have closed the connection.
            selectable = self._selectables.get(descriptor)
            if selectable is None:
                continue
            if event & DISCONNECTED and descriptor in self._reads:
                # While the kernel handles a reset, the error can be seen before
                # the end of the input. Only a read tells a reset from a close.
                event |= select.EPOLLIN
            self._doReadOrWrite(selectable, descriptor, event)

    doIteration = doPoll  # noqa: N815


def install_reactor() -> Reactor:
    """Makes a new reactor the process's own, and returns it."""
    reactor = Reactor()
    installReactor(reactor)
    return reactor
