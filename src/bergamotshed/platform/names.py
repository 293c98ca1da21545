"""
bergamotshed.platform.names
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The names of the platform's protocols: topics, fields and headers.
"""

__all__ = (
    'ATTEMPT',
    'CACHE_SOURCE',
    'CONFIGURATION_KEY',
    'DEADLINE',
    'ERA',
    'FIRST_START_VARIABLE',
    'HTTP_GONE',
    'INSTANCE_EXPECTED',
    'LEAVING',
    'LOAD',
    'MODEL',
    'NOT_EXECUTED',
    'ORGANISATION',
    'OUTPUT_HINT',
    'OWN_PREFIXES',
    'PRIORITY',
    'PROMPT',
    'REJECTION_TOLERANCE',
    'REQUEST_RATE',
    'RESUMED_ATTEMPT',
    'SEAL',
    'SETTINGS_VARIABLE',
    'TOKENS',
    'TOPICS',
)

from ..store.types import Topic

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'BERGAMOTSHED_BOOT'
#: Environment variable that is ``true`` at the first start of the whole fleet.
FIRST_START_VARIABLE = 'BERGAMOTSHED_FIRST_START'

#: Topics of the store; each has a single partition.
TOPICS = {
    Topic.CONFIGURATION: 'keyed.op',
    Topic.UPSTREAMS: 'keyed.servers',
    Topic.ROUTERS: 'keyed.routers',
    Topic.SUSPECTS: 'keyed.suspects',
    Topic.VERSIONS: 'keyed.versions',
}
CONFIGURATION_KEY = 'config'

#: Header of all the store's answers: a number that rises by one each time the
#: store comes back from an older copy.
ERA = 'Store-Era'

#: Status of a read from an offset whose records are no longer retained.
HTTP_GONE = 410

#: Header names in lower case. Headers that callers send:
ATTEMPT = b'bergamotshed-attempt-id'
MODEL = b'bergamotshed-model'
#: Tokens of the prompt and maximum tokens of the answer.
TOKENS = b'bergamotshed-token-counts'
#: Lists all parts of the prompt, not only the shared prefix; the request's own
#: part is last.
PROMPT = b'bergamotshed-prompt-prefix'
#: Remaining time in milliseconds, not a point in time.
DEADLINE = b'bergamotshed-deadline-ms'
OUTPUT_HINT = b'bergamotshed-length-hint'
#: Id of the attempt that brought the first event of the stream to resume.
RESUMED_ATTEMPT = b'resumes'

#: Headers that routers set:
INSTANCE_EXPECTED = b'bergamotshed-expect-instance'
ORGANISATION = b'bergamotshed-tenant'
#: Urgency; 0 is the most urgent.
PRIORITY = b'bergamotshed-request-priority'

#: Another upstream from which to copy the prompt's cache.
CACHE_SOURCE = b'kv-fetch'

#: Headers that upstreams set:
SEAL = b'bergamotshed-response-seal'
NOT_EXECUTED = b'bergamotshed-not-executed'
#: Numbers of running requests, waiting requests and slots.
LOAD = b'bergamotshed-server-load'
#: Requests a second that the upstream takes from all routers together.
REQUEST_RATE = b'server-limit'
#: Rejections for want of room in a second that the upstream bears.
REJECTION_TOLERANCE = b'server-brittle'
#: ``1`` if the upstream leaves and wants no new requests.
LEAVING = b'server-leaving'

#: Prefixes of headers that only routers set, except the callers' headers
#: above; others with these prefixes are dropped from callers' requests.
OWN_PREFIXES = (b'bergamotshed-', b'kv-')
