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


def test_regions_of_route_and_workspace_both_bind():
    anywhere, here = route("a", "/a/"), route("b", "/b/", allowed_regions=frozenset({"x", "y"}))
    free, bound = (
        routes.Workspace("w", (), 1, allowed_regions=frozenset(r)) for r in ((), ("y", "z"))
    )
    assert routes.allowed_regions(anywhere, None) is None
    assert routes.allowed_regions(anywhere, free) is None
    assert routes.allowed_regions(here, free) == {"x", "y"}
    assert routes.allowed_regions(here, bound) == {"y"}
    apart = route("c", "/c/", allowed_regions=frozenset({"x"}))
    assert routes.allowed_regions(apart, bound) == frozenset()


def test_request_of_no_excluded_host_or_workspace_may_run_in_the_region():
    """Guards against a request that runs outside its regions since its look-up was left out."""
    given = [
        route("any", "/a/", "one"),
        route("here", "/b/", "one", allowed_regions=frozenset({"x", "y"})),
        route("mixed", "/a/", "two", allowed_regions=frozenset({"x"})),
        route("elsewhere", "/b/", "two", allowed_regions=frozenset({"y"})),
    ]
    workspaces = [
        routes.Workspace("free", (), 1),
        routes.Workspace("here", (), 1, allowed_regions=frozenset({"x"})),
        routes.Workspace("elsewhere", (), 1, allowed_regions=frozenset({"y"})),
    ]
    excluded = routes.excluded(routes.build(7, routes.Limits(), [SERVICE], given, workspaces), "x")
    assert excluded == (frozenset({"two"}), frozenset({"elsewhere"}))
    for each in given:
        for workspace in [None, *workspaces]:
            regions = routes.allowed_regions(each, workspace)
            if each.host not in excluded.hosts and (
                workspace is None or workspace.name not in excluded.workspaces
            ):
                assert regions is None or "x" in regions


def test_region_that_is_not_known_is_found_with_its_place():
    faulty = table(route("a", "/a/", allowed_regions=frozenset({"x", "q"})))
    assert [str(finding) for finding in routes.unknown_regions(faulty, {"x"})] == [
        "version-7:route:a: region 'q' has no failure domain"
    ]


def test_key_of_two_workspaces_is_found_without_being_shown():
    shared = [routes.Workspace(name, (routes.key_digest("secret"),), 1) for name in ("v", "w")]
    faulty = routes.build(7, routes.Limits(), [SERVICE], [route("a", "/a/")], shared)
    assert [str(fault) for fault in routes.check(faulty)] == [
        "version-7:workspaces: v and w hold the same key"
    ]
