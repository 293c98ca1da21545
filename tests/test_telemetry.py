import io
import json
from collections.abc import Iterator

import eliot
import pytest

from bergamotshed.process.journal import Journal
from bergamotshed.telemetry import setup_logging


@pytest.fixture
def logged() -> Iterator[tuple[io.StringIO, Journal]]:
    destinations = eliot.Logger._destinations
    previous = list(destinations._destinations)
    fields = dict(destinations._globalFields)
    stream = io.StringIO()
    journal = setup_logging(stream, 'router-1')
    # eliot first delivers what it buffered before it had a destination. The
    # stream is emptied; the journal keeps these messages, so that the test
    # uses names of its own.
    stream.seek(0)
    stream.truncate()
    yield stream, journal
    destinations._destinations[:] = previous
    destinations._globalFields.clear()
    destinations._globalFields.update(fields)


def test_one_json_object_a_line_and_a_journal(
    logged: tuple[io.StringIO, Journal],
) -> None:
    stream, journal = logged
    with eliot.start_action(
        action_type='request:chat', request='telemetry-request'
    ):
        eliot.log_message(
            'attempt:began', upstream='telemetry-engine', odd={1, 2}
        )
    eliot.log_message('engine.ordered', engine='telemetry-engine')
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line['router'] for line in lines] == ['router-1'] * 4
    assert len(journal.of_request('telemetry-request')) == 3
    assert [
        entry.facts['message_type']
        for entry in journal.of_engine('telemetry-engine')
    ] == [
        'attempt:began',
        'engine.ordered',
    ]
