"""What scripted upstreams do in several tests."""


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
