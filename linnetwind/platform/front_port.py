"""Opens the callers' port before the rest of the program is loaded.

Loading takes a third of a second on an entry host. A caller that came in that
time, after its host had lost power, found the port closed; most have one more
try and lost their request with it. Connections that wait in the port's queue
are served as soon as the daemon runs. Nothing but the standard library's
smallest modules may be imported here.
"""

import json
import os
import socket

# The platform's queue is as long at most.
_BACKLOG = 512


def open_front() -> socket.socket:
    """Listen where callers connect.

    Returns:
      The listening socket.

    Raises:
      KeyError: The settings' variable or a field is missing.
      OSError: The settings cannot be read, or the port is taken.
    """
    with open(os.environ['LINNETWIND_CONFIG'], encoding='utf-8') as source:
        front = json.load(source)['listen']['front']
    ip, _colon, port = front.rpartition(':')
    return socket.create_server((ip, int(port)), backlog=_BACKLOG)
