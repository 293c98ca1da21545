"""Gateways as processes, started as the deploy file and the platform do."""

import asyncio
import json
import os
import re
import signal
import sys
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    'grace_s': 8,
    'revoke_ms': 5000,
    'config_apply_ms': 2000,
    'drain_ms': 2000,
    'retry_budget_ratio': 0.2,
    'budget_slack': 58,
    'retry_window_s': 10,
}


def render(template: str, fields: dict) -> str:
    """Fill in the placeholders of a template that has no sections."""

    def value_of(match: re.Match) -> str:
        path, _, form = match[1].partition('|')
        found = fields
        for step in path.split('.'):
            found = found[int(step)] if step.isdigit() else found[step]
        return json.dumps(found) if form else str(found)

    return re.sub(r'\{\{([^}]*)\}\}', value_of, template)


class Gateway:
    """One machine with the role of the deploy file."""

    def __init__(
        self, number: int, host: str, folder: Path, store: str, ports: list
    ) -> None:
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['gateway']
        self.name = f'front-{number}'
        self.host = host
        self.front = f'{host}:{ports[0]}'
        self.ready = f'{host}:{ports[1]}'
        self.directory = f'{host}:{ports[2]}'
        self.process: asyncio.subprocess.Process | None = None
        self.log = folder / f'{self.name}.log'
        self._settings = folder / f'{self.name}.ini'
        self.fields = {
            'node_name': self.name,
            'zone': f'zone-{number % 3}',
            'region': 'region',
            'ip': host,
            'bootstrap': True,
            'internal_port_range': [ports[3], ports[4]],
            'listen': {
                'front': self.front,
                'readiness_endpoint': self.ready,
                'directory': self.directory,
            },
            'platform': {
                'address': store,
                'reads_per_s': 2000,
                'writes_per_s': 400,
            },
            'bounds': dict(BOUNDS),
        }
        text = (ROOT / role['template']).read_text()
        # The operators' port is fixed in the template; a free one is used.
        self._template = text.replace(':9464', f':{ports[5]}')
        self._command = role['run'].split()
        self._environment = role.get('env', {})

    def restart_settings(self) -> None:
        """Use the settings of a later start of the whole system."""
        self.fields['bootstrap'] = False

    async def start(self) -> None:
        self._settings.write_text(render(self._template, self.fields))
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._command[1:],
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'BERGAMOTSHED_BOOT': str(self._settings),
                    **{
                        name: render(text, self.fields)
                        for name, text in self._environment.items()
                    },
                },
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        if self.is_running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        if self.is_running:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    async def wait_ready(self, timeout_s: float = 15) -> None:
        end = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise RuntimeError(f'{self.name} did not get ready')
            await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        status, _ = await fetch(self.ready, '/v1/health')
        return status == 200

    async def entries(self) -> tuple[list[str], float]:
        """Return the addresses and their lifetime; empty without an answer."""
        query = '?name=h.example&region=region&zone=zone-0'
        status, body = await fetch(self.directory, '/v1/entries' + query)
        if status != 200:
            return [], 0
        listed = json.loads(body)
        return listed['addresses'], listed['lifetime']


async def fetch(address: str, path: str) -> tuple[int, bytes]:
    """Return status and body of a GET; status 0 without an answer."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f'GET {path} HTTP/1.1\r\nHost: x\r\n'
                'Connection: close\r\n\r\n'.encode()
            )
            answer = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        return 0, b''
    head, _, body = answer.partition(b'\r\n\r\n')
    try:
        return int(head.split()[1]), body
    except (IndexError, ValueError):
        return 0, b''
