"""What scripted upstreams do in several tests."""

import time

from standins.gateway_harness import read_answer


def answer(connection, request) -> None:
    """Answer at once."""
    connection.answer(request)


def stream(connection, request, **headers) -> None:
    """Answer with a stream of one event."""
    connection.head(
        request,
        Content_Type='text/event-stream',
        Transfer_Encoding='chunked',
        **headers,
    )
    connection.chunk('id: 1\ndata: 1\n\n')
    connection.send('0\r\n\r\n')


def answer_with_limit(connection, request) -> None:
    """Answer, and name a limit of four requests a second."""
    connection.answer(request, Server_Limit='4')


def sent_after(gateway, text, change) -> tuple[int, int]:
    """Return how many requests an upstream gets after a change to it.

    More requests come than its limit lets go at once, so that some wait for
    their turn while the change is made.

    Returns:
      Their number, and how many callers more were answered than sent before.
    """
    upstream = gateway.add(answer_with_limit)
    gateway.ask(text)
    callers = [gateway.call(text) for _call in range(20)]
    time.sleep(0.1)
    change(upstream)
    time.sleep(0.05)
    sent = len(upstream.requests)
    statuses = [read_answer(caller)[0] for caller in callers]
    # The first call came before these.
    answered = statuses.count(200) + 1
    return len(upstream.requests) - sent, answered - sent
