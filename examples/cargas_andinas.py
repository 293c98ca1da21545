"""Describe the fleet of Cargas Andinas: 9 drafting, 3 booking engines."""

from bergamotshed.operators.library import describe, model

LARGE = ('quito-central', 'sierra-norte')
SMALL = (
    'ambato',
    'cuenca',
    'guaranda',
    'ibarra',
    'latacunga',
    'loja',
    'riobamba',
    'tulcan',
)

fleet = describe(entries_lifetime=30)
fleet.service(
    'drafting',
    models=[model('route-notes', 'v1', adapters=['urgency-tags'])],
    load_bound=1.25,
    slots=32,
)
fleet.service(
    'booking',
    models=[model('slot-assistant', 'v1')],
    load_bound=1.25,
    slots=32,
    fencing=True,
)
fleet.service('slots', kind='plain', at_most_once=['book', 'cancel'])
for name in LARGE:
    fleet.organisation(
        name, services=['drafting', 'booking', 'slots'], share=4
    )
for name in SMALL:
    fleet.organisation(name, services=['drafting', 'booking', 'slots'])
fleet.print()
