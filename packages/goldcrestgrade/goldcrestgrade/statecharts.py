"""State charts read from YAML files and interpreted as transition tables.

sismic validates a chart when it is loaded. The chart is then compiled to a table, so that an event
costs one lookup.
"""

from __future__ import annotations

import importlib.resources
import typing

import sismic.io


class UnexpectedEvent(Exception):
    """The chart has no transition for an event in the current state."""


class Chart(typing.NamedTuple):
    """A compiled chart without nested states."""

    name: str
    initial: str
    finals: frozenset[str]
    transitions: typing.Mapping[tuple[str, str], str]
    """Next state by current state and event."""

    def next_state(self, state: str, event: str) -> str:
        """Return the state after `event`; raises `UnexpectedEvent` if there is no transition."""
        try:
            return self.transitions[state, event]
        except KeyError:
            raise UnexpectedEvent(
                f"{self.name}: no transition for event {event!r} in state {state!r}"
            ) from None

    def allows(self, state: str, event: str) -> bool:
        """Return whether the chart has a transition for `event` in `state`."""
        return (state, event) in self.transitions


def load(package: str, name: str) -> Chart:
    """Return the chart in the file `name`.yaml of `package`."""
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
