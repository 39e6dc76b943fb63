"""Contents that another writer may leave in the store, as JSON texts."""

from standins.object_store import RawContent

DEEP = "[" * 20_000 + "]" * 20_000
ENDPOINT = (
    '{"service": "ledger", "address": "127.0.0.1:1", "zone": "a", "capacity": 5,'
    ' "state": "ready", "db_role": "replica", "sequence": 1, "born": 1}'
)


def endpoint_with(field: str, value: str) -> str:
    """Return an endpoint's entry with one field replaced or added."""
    return ENDPOINT[:-1] + f', "{field}": {value}}}'


ODD_CONTENTS = {
    "nested deeply": RawContent(DEEP),
    "field nested deeply": RawContent(endpoint_with("note", DEEP)),
    "integer of 6,000 digits": RawContent(endpoint_with("capacity", "9" * 6_000)),
    "integer above 64 bits": RawContent(endpoint_with("born", "9" * 30)),
    "number too large": RawContent(endpoint_with("capacity", "1e400")),
    "lone surrogate": RawContent(endpoint_with("zone", '"\\ud800"')),
    "not JSON": RawContent('{"service": NaN}'),
    "no object": RawContent("7"),
    "missing": RawContent("null"),
    "port out of range": RawContent(endpoint_with("address", '"127.0.0.1:99999"')),
    "negative port": RawContent(endpoint_with("address", '"127.0.0.1:-1"')),
    "truncated address": RawContent(endpoint_with("address", '"[::"')),
    "host name": RawContent(endpoint_with("address", '"nonsense"')),
    "negative capacity": RawContent(endpoint_with("capacity", "-5")),
    "no capacity": RawContent(endpoint_with("capacity", "0")),
    "unknown state": RawContent(endpoint_with("state", '"resting"')),
    "list as state": RawContent(endpoint_with("state", "[]")),
}
