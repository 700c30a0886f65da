"""Lookup of routes, and the errors reported for an invalid route table."""

from goldcrestgrade import routes

PART = (routes.Part("archive", 1.0),)
SERVICE = routes.Service("archive", "/healthz", 220)


def route(name, prefix, host="letters.example", parts=PART, **changes):
    values = {
        "run_once": False,
        "latency_target_s": 0.4,
        "timeout_s": 0.8,
        "priority": 1,
        "attempts": 2,
    }
    return routes.Route(name, host, prefix, parts=parts, **{**values, **changes})


def table(*given):
    return routes.build(7, routes.Limits(), [SERVICE], given)


def test_longest_prefix_of_the_host_is_found():
    route_table = table(route("short", "/a/"), route("long", "/a/b/"), route("x", "/a/b/", "other"))
    assert routes.find(route_table, "Letters.Example:80", "/a/b/c").name == "long"
    assert routes.find(route_table, "letters.example", "/a/c").name == "short"
    assert routes.find(route_table, "letters.example", "/b/") is None
    assert routes.find(route_table, "unknown.example", "/a/") is None


def test_every_fault_of_a_table_is_found():
    faulty = table(
        route("a", "no-slash"),
        route("b", "/b/", timeout_s=0.0, attempts=0),
        route("c", "/c/", parts=(routes.Part("unknown", 0.0),)),
    )
    assert sorted(str(fault) for fault in routes.check(faulty)) == [
        "version-7:a: prefix 'no-slash' does not begin with a slash",
        "version-7:b: number of attempts is 0; at least 1 is required",
        "version-7:b: timeout of 0.0 s is not positive",
        "version-7:c: a service of the route is not declared",
        "version-7:c: no service has a positive weight",
    ]
    assert routes.check(table(route("a", "/a/"))) == []
