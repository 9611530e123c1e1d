"""Selection of the route for a request's host and path."""

import orjson
import pytest

from pewterring.configuration.reader import read_configuration
from pewterring.configuration.route_table import RouteTable
from tests.configuration.documents import document, encoded


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("ficu95.example", "/lohu930/x", "r-1"),
        ("ficu95.example", "/lohu930/", "r-1"),
        ("ficu95.example", "/lohu930/pufi791/x", "r-2"),
        ("ficu95.example", "/lohu930/pufi791", "r-1"),
        ("FICU95.example:8144", "/lohu930/pufi791/", "r-2"),
        ("ficu95.example", "/lohu930", None),
        ("ficu95.example", "/", None),
        ("other.example", "/lohu930/x", None),
        ("", "/lohu930/x", None),
    ],
)
def test_the_route_with_the_longest_matching_prefix_is_found(host: str, path: str, name: str | None) -> None:
    route = RouteTable(read_configuration(encoded())).find(host, path)
    assert (route.name if route else None) == name


def test_the_order_of_routes_in_the_document_does_not_matter() -> None:
    reversed_routes = document()
    reversed_routes["routes"].reverse()
    route = RouteTable(read_configuration(orjson.dumps(reversed_routes))).find(
        "ficu95.example", "/lohu930/pufi791/x"
    )
    assert route is not None
    assert route.name == "r-2"
