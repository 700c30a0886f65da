"""State charts read from YAML files and interpreted as transition tables.

Charts are checked by sismic when they load and compiled to a table, so that an event costs one
lookup.
"""

from __future__ import annotations

import importlib.resources
import typing

import sismic.io


class UnexpectedEvent(Exception):
    """An event that the chart does not name in the current state."""


class Chart(typing.NamedTuple):
    """A compiled chart of flat states."""

    name: str
    initial: str
    finals: frozenset[str]
    transitions: typing.Mapping[tuple[str, str], str]
    """Maps a state and an event to the next state."""

    def next_state(self, state: str, event: str) -> str:
        """Return the state after `event`; raises `UnexpectedEvent`."""
        try:
            return self.transitions[state, event]
        except KeyError:
            raise UnexpectedEvent(f"{self.name}: no event {event!r} in state {state!r}") from None

    def allows(self, state: str, event: str) -> bool:
        """Tell whether the chart names `event` in `state`."""
        return (state, event) in self.transitions


def load(package: str, name: str) -> Chart:
    """Return the chart `name`.yaml that lies in `package`."""
    text = importlib.resources.files(package).joinpath(f"{name}.yaml").read_text("utf-8")
    chart = sismic.io.import_from_yaml(text)
    root = chart.state_for(chart.root)
    states = [chart.state_for(child) for child in chart.children_for(chart.root)]
    return Chart(
        name=chart.name,
        initial=root.initial,
        finals=frozenset(state.name for state in states if not chart.transitions_from(state.name)),
        transitions={
            (transition.source, transition.event): transition.target
            for transition in chart.transitions
        },
    )
