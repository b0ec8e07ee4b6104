"""Steps for interference.feature."""

import random
from typing import Any

from behave import given, then, when

from apricotpath.interference import Estimates, GuardedTask, GuardRow, Step, guard

NAMES = ("grinding", "sorting")


class InterferenceSubject:
    """True slowdowns per activity, learned estimates and the actions of a guard."""

    def __init__(self) -> None:
        self.true_slowdowns: dict[str, float] = {}
        self.pair_slowdown = self.noise = self.lag = 0.0
        self.estimates = Estimates()
        self.shares = {"noisy": 1.0, "quiet": 1.0}
        self.steps: list[str] = []

    def true_pressure(self, tasks: dict[str, int]) -> float:
        both = self.pair_slowdown if all(tasks.get(name) for name in NAMES) else 0.0
        return (
            1.0 + both + sum(self.true_slowdowns[name] * number for name, number in tasks.items())
        )

    def learn(self, hosts: int, seconds: int, seed: int) -> None:
        rng = random.Random(seed)
        sets: list[dict[str, int]] = [{} for _ in range(hosts)]
        past: list[list[float]] = [[1.0] * 3 for _ in range(hosts)]
        for now in range(seconds):
            for host in range(hosts):
                if rng.random() < 0.05:
                    sets[host] = {name: rng.randint(0, 2) for name in NAMES}
                past[host].append(self.true_pressure(sets[host]))
                pressure = past[host][-1 - int(self.lag)] + rng.gauss(0, 0.03)
                if rng.random() < self.noise:
                    pressure = rng.uniform(1.0, 20.0)
                self.estimates.observe(f"h{host}", "desk", sets[host], pressure, float(now))

    def run_guard(self, pressures: str) -> None:
        self.estimates.single["desk", "loud"] = 0.6
        row, now = GuardRow(), 100.0
        running = set(self.shares)
        for part in pressures.split(","):
            pressure, seconds = (float(item) for item in part.split(" for "))
            for _ in range(int(seconds * 2)):
                now += 0.5
                tasks = [
                    GuardedTask(name, "loud" if name == "noisy" else "calm", self.shares[name], 1.0)
                    for name in sorted(running)
                ]
                action = guard(row, "desk", pressure, tasks, self.estimates, now)
                if action is None:
                    continue
                share = "" if action.step is Step.MOVE else f" {action.share}"
                self.steps.append(f"{action.step.value} {action.task}{share}")
                self.shares[action.task] = action.share
                running -= {action.task} if action.step is Step.MOVE else set()


@given(
    "true interference {true_slowdowns} with {noise:d} % of outlier reports and {lag:d} s of lag"
)
def _(context: Any, true_slowdowns: str, noise: int, lag: int) -> None:
    subject = context.interference = InterferenceSubject()
    subject.true_slowdowns = {
        n: float(v) for n, v in (item.split("=") for item in true_slowdowns.split())
    }
    subject.noise, subject.lag = noise / 100, lag


@given("interference of {slowdown:f} when grinding and sorting run together")
def _(context: Any, slowdown: float) -> None:
    context.interference.pair_slowdown = slowdown


@when("interference is learned from {hosts:d} hosts for {seconds:d} s from seed {seed:d}")
def _(context: Any, hosts: int, seconds: int, seed: int) -> None:
    context.interference.learn(hosts, seconds, seed)


@then("each interference estimate is within {limit:f} of the true value")
def _(context: Any, limit: float) -> None:
    subject = context.interference
    for name, value in subject.true_slowdowns.items():
        found = subject.estimates.predict("desk", {name: 1}) - 1.0
        assert abs(found - value) <= limit, (name, found, value)


@then("the pair is predicted at least {margin:f} slower than its singles")
def _(context: Any, margin: float) -> None:
    predict = context.interference.estimates.predict
    pair = predict("desk", dict.fromkeys(NAMES, 1))
    singles = max(predict("desk", {name: 1}) for name in NAMES)
    assert pair - singles >= margin, (pair, singles)


@given("an interference estimate of {value:f}")
def _(context: Any, value: float) -> None:
    context.interference = InterferenceSubject()
    context.interference.estimates.single["desk", "grinding"] = value


@when("interference decays for two hours")
def _(context: Any) -> None:
    for second in range(0, 7201, 60):
        context.interference.estimates.decay(float(second))


@then("the interference estimate is below {limit:f}")
def _(context: Any, limit: float) -> None:
    assert context.interference.estimates.single["desk", "grinding"] < limit


@given("a guarded host with a noisy and a quiet batch task")
def _(context: Any) -> None:
    context.interference = InterferenceSubject()


@when("the interference pressure is {pressures}")
def _(context: Any, pressures: str) -> None:
    context.interference.run_guard(pressures)


@then("the actions of the guard are {steps}")
def _(context: Any, steps: str) -> None:
    expected = [] if steps == "none" else steps.split(", ")
    assert context.interference.steps == expected, context.interference.steps
