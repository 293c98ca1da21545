"""Describe the fleet of Fournaise Connectée: 6 recipe, 3 oven engines."""

from bergamotshed.operators.library import describe, model

LARGE = ('sfax-ovens', 'sousse-ovens')
SMALL = (
    'app-tags',
    'bakers-gabes',
    'bakers-mahdia',
    'bakers-monastir',
    'bakers-sfax',
    'bakers-sousse',
    'bakers-tunis',
    'test-kitchen',
)

fleet = describe(entries_lifetime=30)
fleet.service(
    'recipe',
    models=[model('cooking-programmes', 'v1', adapters=['programme-tags'])],
    load_bound=1.1,
    spread=3,
)
fleet.service(
    'oven-control',
    models=[model('oven-dialogue', 'v1')],
    load_bound=1.1,
    fencing=True,
)
fleet.service('ovens', kind='plain', at_most_once=['preheat'])
for name in LARGE:
    fleet.organisation(
        name, services=['recipe', 'oven-control', 'ovens'], share=4
    )
for name in SMALL:
    fleet.organisation(name, services=['recipe', 'oven-control', 'ovens'])
fleet.print()
