"""Validates task commands and applies the rules on where and when work may run."""

from dataclasses import dataclass
from datetime import datetime, timedelta
from math import isfinite

from apricotpath.config import AgentSettings
from apricotpath.ids import TeamId
from apricotpath.messages import EvictTask, StartTask, StopTask, TaskReply, ThrottleTask
from apricotpath.model import ReplyCode, Size
from apricotpath.rules import Rules

TaskCommand = StartTask | StopTask | EvictTask | ThrottleTask

# Longer declared times are errors and would overflow a datetime.
MAX_TASK_S = 1e9


@dataclass(frozen=True, slots=True)
class Allowance:
    """Whether work may run here now, and until which UTC time (None: no limit).

    `code` is None if it may run. `until` leaves time for a kill and allows for clock offset.
    """

    code: ReplyCode | None
    reason: str
    until: datetime | None = None


def allowance(
    rules: Rules, cfg: AgentSettings, team: TeamId, activity: str, utc: datetime
) -> Allowance:
    """Decide whether an activity may run on this host at a UTC time."""
    if not rules.in_service(cfg.data_centre):
        return Allowance(ReplyCode.OUT, f"data centre {cfg.data_centre} is out of service")
    verdict = rules.verdict(team, activity, cfg.data_centre, utc)
    if not verdict.allowed:
        return Allowance(ReplyCode.HOURS, f"{activity} is forbidden now by {verdict.rule}")
    if verdict.until is None:
        return Allowance(None, "")
    margin_s = max(cfg.policy.hours_margin_s, cfg.policy.kill_grace_s)
    return Allowance(None, verdict.rule, verdict.until - timedelta(seconds=margin_s))


def malformed(msg: StartTask) -> str:
    """Return why the values of a start are invalid, or an empty string."""
    times = (msg.run_time_s, msg.checkpoint_s)
    if not all(isfinite(value) and 0 <= value <= MAX_TASK_S for value in times):
        return f"a time is outside 0 to {MAX_TASK_S:.0f} s"
    if not Size().fits_in(msg.size):
        return "the size has a negative dimension"
    return "" if msg.attempt >= 0 and msg.task else "the task or attempt is not valid"


def task_reply(msg: TaskCommand, accepted: bool, code: ReplyCode, reason: str) -> TaskReply:
    """Return the reply to a command."""
    return TaskReply(msg.task, msg.attempt, accepted, code, reason)
