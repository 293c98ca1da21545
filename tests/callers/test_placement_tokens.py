import pytest

from bergamotshed.callers.placement_tokens import PlacementTokens

TOKENS = PlacementTokens(b'k' * 16)
TOKEN = TOKENS.make('engine-7', 'sierra')


def test_token_names_its_upstream() -> None:
    assert TOKENS.read(TOKEN, 'sierra') == 'engine-7'
    assert 'engine' not in TOKEN


INVALID_TOKENS = {
    'empty': ('', 'sierra'),
    'other organisation': (TOKEN, 'costa'),
    'changed': (TOKEN[:-4] + 'AAAA', 'sierra'),
    'cut': (TOKEN[:8], 'sierra'),
    'of another key': (
        PlacementTokens(b'x' * 16).make('engine-7', 'sierra'),
        'sierra',
    ),
    'no base64': ('!!!', 'sierra'),
    'not ASCII': ('é' * 20, 'sierra'),
    'long': ('A' * 4000, 'sierra'),
}


@pytest.mark.parametrize('name', INVALID_TOKENS)
def test_invalid_tokens_are_rejected(name: str) -> None:
    assert not TOKENS.read(*INVALID_TOKENS[name])
