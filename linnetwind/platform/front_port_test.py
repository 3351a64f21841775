"""Tests of opening the callers' port before the program is loaded."""

import json
import socket
import subprocess
import sys

from linnetwind.platform.front_port import open_front

LARGE_MODULES = {'msgspec', 'h11', 'prometheus_client', 'concurrent.futures'}


def test_callers_wait_in_the_queue_while_the_daemon_starts(
    tmp_path, monkeypatch
):
    # When a host restarts after a power loss, its callers retry immediately,
    # and most retry only once. Without the early port, their connections were
    # reset while the program was being loaded.
    settings = tmp_path / 'node.json'
    settings.write_text(json.dumps({'listen': {'front': '127.0.0.1:0'}}))
    monkeypatch.setenv('LINNETWIND_CONFIG', str(settings))
    with open_front() as listener:
        with socket.create_connection(listener.getsockname(), 5) as caller:
            caller.sendall(b'GET / HTTP/1.1\r\n\r\n')
            connection, _peer = listener.accept()
            with connection:
                assert connection.recv(5) == b'GET /'


def test_no_large_module_is_loaded_before_the_port_opens():
    # Until the port opens, callers are reset; each import before it adds time.
    script = 'import linnetwind.platform.front_port, sys; print(*sys.modules)'
    completed = subprocess.run(
        [sys.executable, '-c', script], capture_output=True, check=True
    )
    assert not LARGE_MODULES & set(completed.stdout.decode().split())
