"""Opens the callers' port before the rest of the program is loaded.

Loading the program takes a third of a second on an entry host. When the host
restarted after a power loss, callers that connected during that time found the
port closed. Most callers retry only once, so that their requests were lost.
With the port open, connections wait in its accept queue and are served as soon
as the daemon runs. This module may import only small modules of the standard
library, since each import delays the opening of the port.
"""

import json
import os
import socket

# The platform caps accept queues at this length.
_BACKLOG = 512


def open_front() -> socket.socket:
    """Open the listening socket for callers' connections.

    Returns:
      The socket, already listening.

    Raises:
      KeyError: The environment variable that names the settings file, or a
        field of the file, is missing.
      OSError: The settings file cannot be read, or the port is in use.
    """
    with open(os.environ['LINNETWIND_CONFIG'], encoding='utf-8') as source:
        address = json.load(source)['listen']['front']
    ip, _colon, port = address.rpartition(':')
    return socket.create_server((ip, int(port)), backlog=_BACKLOG)
