"""Exhaustive exploration of the interleavings of entries that reserve one idempotency key."""

from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

from apricotpath.keyplaces import (
    Blocked,
    Granted,
    Place,
    RequestReplies,
    SendMessages,
    SettleAt,
    reserve_key,
)
from apricotpath.messages import ReleaseKey, ReserveKey, Settle
from apricotpath.model import Maturity, Settlement
from apricotpath.settle import KeyTable, RequestTable, StartVerdict

FULL = Maturity.FULL


@dataclass(frozen=True)
class View:
    """Places as one entry sees them; `absent` ones are not linked, `silent` ones do not reply."""

    places: str = "ABC"
    absent: str = ""
    silent: str = ""


VIEWS = {
    "both see all places": (View(), View()),
    "the second does not see the home": (View(), View(absent="A")),
    "the second gets no answer from place 2": (View(), View(silent="B")),
    "the second gets no answer from place 3": (View(), View(silent="C")),
    "each misses another place": (View(absent="A"), View(absent="B")),
    "each reaches only one place": (View(absent="A", silent="C"), View(absent="B", silent="C")),
    "a joining agent moves the places": (View(), View(places="JAB")),
}


class Agent:
    """The tables of one agent; only agent J has no full key memory."""

    def __init__(self, name: str) -> None:
        self.maturity = Maturity.JOINING if name == "J" else FULL
        self.keys = KeyTable(240.0)
        self.requests = RequestTable(1000, 1000, 240.0)


class Racer:
    """One entry's reservation and its undelivered messages to each agent."""

    def __init__(self, number: int, view: View) -> None:
        self.view, self.request, self.outcome = view, f"entry{number}.1", ""
        places = [Place(p, f"{p}-1", p not in view.absent, True) for p in view.places]
        self.steps = reserve_key("key", "scraps", self.request, places)
        self.queues: dict[str, list[Any]] = {name: [] for name in "ABCJ"}
        self.replies: list[Any] = []
        self.waiting = 0
        self.history: list[Any] = []
        self.advance(None)

    def send(self, name: str, item: Any) -> None:
        if name not in self.view.absent + self.view.silent:
            self.queues[name].append(item)

    def advance(self, reply: Any) -> None:
        """Perform steps until one has to wait for an agent."""
        self.history.append(repr(reply))
        try:
            step = self.steps.send(reply)
            while isinstance(step, SendMessages):
                for name, message in step.messages:
                    self.send(name, message)
                step = self.steps.send(None)
        except StopIteration as stop:
            self.end(stop.value)
            return
        if isinstance(step, SettleAt):
            if step.process in self.view.absent + self.view.silent:
                self.advance(Settlement.UNKNOWN)
            else:
                self.send(step.process, step.settle)
            return
        assert isinstance(step, RequestReplies)
        self.replies = [None] * len(step.asks)
        self.waiting = 0
        for index, (name, ask) in enumerate(step.asks):
            if name not in self.view.silent:
                self.waiting += 1
                self.send(name, (index, ask))
        if not self.waiting:
            self.advance(self.replies)

    def end(self, result: Any) -> None:
        if isinstance(result, Granted):
            self.send(result.home.process, "start")
        else:
            self.outcome = "not-run" if isinstance(result, Blocked) else "existing"

    def deliver(self, name: str, agent: Agent, runs: list[str]) -> None:
        """Deliver the next message of this entry to an agent, with the releases before it.

        Handling releases separately from the message after them would only add
        states in which an obsolete reservation lasts longer.
        """
        while isinstance(self.queues[name][0], ReleaseKey) and len(self.queues[name]) > 1:
            release = self.queues[name].pop(0)
            agent.keys.release(release.key, release.request)
        item = self.queues[name].pop(0)
        if item == "start":
            if agent.requests.start(self.request, True, 1e9, 0.0) is StartVerdict.NEW:
                agent.requests.run(self.request)
                runs.append(self.request)
                self.outcome = "answered"
            else:
                self.outcome = "not-run"
                for place in self.view.places:
                    self.send(place, ReleaseKey("key", self.request))
        elif isinstance(item, ReleaseKey):
            agent.keys.release(item.key, item.request)
        elif isinstance(item, Settle):
            self.advance(agent.requests.settle(item.request, 0.0).settlement)
        elif isinstance(item, ReserveKey):
            agent.keys.reserve(item, agent.maturity, 0.0)
        else:
            index, ask = item
            self.replies[index] = agent.keys.reserve(ask, agent.maturity, 0.0)
            self.waiting -= 1
            if not self.waiting:
                self.advance(self.replies)


# Enough for one takeover of the key by each entry; more rounds only repeat it.
MAX_ROUNDS = 2


class KeyExplorer:
    """Visits every reachable state of a race, for all orders of message delivery.

    Entries interact only when an agent handles a message, so a reply is delivered
    as soon as it is sent. Messages from one entry to one agent stay in order. A
    state is reached again by repeating the choices that led to it.
    """

    def __init__(self, views: tuple[View, ...]) -> None:
        self.views = views
        self.count = 0
        self.ran = 0
        self.violations: list[str] = []

    def explore(self) -> None:
        """Visit all states, and check those in which all messages are delivered."""
        with patch("apricotpath.keyplaces.MAX_ROUNDS", MAX_ROUNDS):
            self._explore()

    def _explore(self) -> None:
        seen = set()
        paths: list[tuple[int, ...]] = [()]
        while paths:
            path = paths.pop()
            agents, racers, runs = self.replay(path)
            while (state := self.state(agents, racers, runs)) not in seen:
                seen.add(state)
                self.count += 1
                options = self.options(racers)
                if not options:
                    self.check(path, racers, runs)
                    break
                # The first choice is made in place, which avoids replaying the path.
                paths.extend((*path, choice) for choice in range(1, len(options)))
                path = (*path, 0)
                racer, name = options[0]
                racer.deliver(name, agents[name], runs)

    @staticmethod
    def state(agents: dict[str, Agent], racers: list[Racer], runs: list[str]) -> str:
        """Return a string that is different for different states."""
        tables = [(agent.keys.records, agent.requests.records) for agent in agents.values()]
        return repr((tables, [(r.queues, r.history, r.outcome) for r in racers], runs))

    @staticmethod
    def options(racers: list[Racer]) -> list[tuple[Racer, str]]:
        return [(racer, name) for racer in racers for name, q in racer.queues.items() if q]

    def replay(self, path: tuple[int, ...]) -> tuple[dict[str, Agent], list[Racer], list[str]]:
        """Return the state that a path of choices leads to."""
        agents = {name: Agent(name) for name in "ABCJ"}
        racers = [Racer(number, view) for number, view in enumerate(self.views, 1)]
        runs: list[str] = []
        for choice in path:
            racer, name = self.options(racers)[choice]
            racer.deliver(name, agents[name], runs)
        return agents, racers, runs

    def check(self, path: tuple[int, ...], racers: list[Racer], runs: list[str]) -> None:
        self.ran += bool(runs)
        if len(runs) > 1:
            self.violations.append(f"ran twice: {runs} in order {path}")
        for racer in racers:
            if racer.outcome == "not-run" and racer.request in runs:
                self.violations.append(f"{racer.request} ran but was answered as not run: {path}")
