"""Tests of the port that is open before the program is loaded."""

import json
import socket
import subprocess
import sys

from linnetwind.platform.front_port import open_front

LARGE = {'msgspec', 'h11', 'prometheus_client', 'concurrent.futures'}


def test_callers_wait_in_the_queue_of_a_daemon_that_starts(
    tmp_path, monkeypatch
):
    # A host is back after a power loss, and its callers try again at once;
    # most have no further try. While the program was loaded the port was
    # closed, and they were reset.
    settings = tmp_path / 'node.json'
    settings.write_text(json.dumps({'listen': {'front': '127.0.0.1:0'}}))
    monkeypatch.setenv('LINNETWIND_CONFIG', str(settings))
    with open_front() as listener:
        with socket.create_connection(listener.getsockname(), 5) as caller:
            caller.sendall(b'GET / HTTP/1.1\r\n\r\n')
            served, _peer = listener.accept()
            with served:
                assert served.recv(5) == b'GET /'


def test_nothing_large_is_loaded_before_the_port_is_open():
    # Each import before the port opens is time in which callers are reset.
    script = 'import linnetwind.platform.front_port, sys; print(*sys.modules)'
    found = subprocess.run(
        [sys.executable, '-c', script], capture_output=True, check=True
    )
    assert not LARGE & set(found.stdout.decode().split())
