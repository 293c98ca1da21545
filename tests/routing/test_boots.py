from bergamotshed.routing.boots import BootRegistry


def test_reports_of_former_boots_are_ignored() -> None:
    boots = BootRegistry()
    assert boots.current_boot('e0') == ''
    for boot in ('a', 'b', 'b'):
        assert boots.record_boot('e0', boot)
    assert not boots.record_boot('e0', 'a')
    assert boots.current_boot('e0') == 'b'
    boots.record_end('e0')
    assert boots.current_boot('e0') == ''
    assert not boots.record_boot('e0', 'b')
    assert boots.record_boot('e0', 'c')
    boots.forget('e0')
    assert boots.current_boot('e0') == ''
