"""Carries out the orders of a scheduler at an agent's executor, with retries."""

import logging
from enum import Enum
from typing import Protocol

import anyio

from apricotpath.boottime import boot_s
from apricotpath.executor import (
    Executor,
    ExecutorError,
    ExecutorFenced,
    ExecutorUnavailable,
    StartCall,
)
from apricotpath.ids import TaskId
from apricotpath.messages import OrderAnswer, OrderAnswers, RunOrder
from apricotpath.model import StartAnswer
from apricotpathd.attachment import Attachment, ExecutorState, RunView
from apricotpathd.fillerpacing import FillerPacing
from apricotpathd.startturns import StartTurns, Turn

log = logging.getLogger(__name__)

# Pause between two attempts of an order that the executor did not answer.
ORDER_RETRY_S = 0.05


class NoAnswer(Enum):
    """Why an attempt to start a run has no answer.

    NOT_SENT: no call was made. UNANSWERED: it may have been carried out, or may still be.
    """

    NOT_SENT = "not-sent"
    UNANSWERED = "unanswered"


class OrderingAgent(Protocol):
    """What orders need of their agent; `attachment` is None while no scheduler is attached."""

    state: ExecutorState | None
    attachment: Attachment | None
    executor: Executor | None
    pacing: FillerPacing

    @property
    def has_executor(self) -> bool:
        """Whether there is an executor that may run tasks."""

    @property
    def draining(self) -> bool:
        """Whether the executor takes no new runs."""

    def deadline(self, attached: Attachment) -> int | None:
        """Return the lease deadline of runs; None without a valid grant."""

    def end_attachment(self, attached: Attachment, reason: str) -> None:
        """End an attachment if it is the present one."""

    def send(self, attached: Attachment, message: OrderAnswers) -> bool:
        """Send a message to the scheduler; False if its link is closed."""


class HostOrders:
    """Starts and stops runs at the executor for the agent's attachment.

    Start calls wait for their turn, stops don't.
    """

    def __init__(self, agent: OrderingAgent, turns: StartTurns) -> None:
        self._agent = agent
        self._turns = turns

    async def start(self, attached: Attachment, order: RunOrder, valid_until: float) -> None:
        """Start a run, and answer whether it has started or certainly never will."""
        name = (order.task, order.run)
        attached.views[name] = RunView(order.filler, order.target_ms, order.pressure, order.size)
        answer = await self._try_start(attached, order, valid_until)
        if attached is not self._agent.attachment:
            return
        extra = {"task": order.task, "run": order.run, "answer": answer.value if answer else ""}
        log.info("run started" if answer else "start withdrawn", extra=extra)
        if answer in (None, StartAnswer.STARTED):
            view = attached.views.get(name)
            if view is not None:
                view.settled_at = boot_s()
        else:
            attached.views.pop(name, None)
        if answer is None:
            # The next report tells whether the run exists.
            return
        if answer is StartAnswer.STARTED and order.filler and self._agent.executor is not None:
            self._agent.pacing.start(attached, self._agent.executor, order.task, order.run)
        self.answer(attached, order.task, order.run, answer)

    def _fits(self, attached: Attachment) -> bool:
        """Return whether all runs fit the executor, whose capacity may just have shrunk."""
        return self._agent.state is not None and attached.reserved().fits_in(
            self._agent.state.facts.capacity
        )

    async def _try_start(
        self, attached: Attachment, order: RunOrder, valid_until: float
    ) -> StartAnswer | None:
        """Start a run, with retries; None if the start was withdrawn.

        Once an attempt was not answered, the refusal of a later one proves nothing: the
        earlier one may be carried out before or after it. No attempt is made while the newest
        renewal has no answer, since the executor may be another incarnation.
        """
        unanswered = False
        name, place = (order.task, order.run), self._turns.next_place()
        while attached is self._agent.attachment and self._agent.executor is not None:
            async with self._turns.turn(place, name, valid_until - boot_s()) as turn:
                answer = await self._attempt(attached, order, valid_until, turn)
            if answer is StartAnswer.STARTED:
                return answer
            if isinstance(answer, NoAnswer):
                unanswered = unanswered or answer is NoAnswer.UNANSWERED
                await anyio.sleep(ORDER_RETRY_S)
            elif unanswered:
                await self.stop(attached, order.task, order.run)
                return None
            else:
                return answer
        return StartAnswer.REFUSED

    async def _attempt(
        self, attached: Attachment, order: RunOrder, valid_until: float, turn: Turn | None
    ) -> StartAnswer | NoAnswer:
        """Make one attempt to start a run, unless it is out of date when its turn has come."""
        if attached is not self._agent.attachment:
            return StartAnswer.REFUSED
        deadline = self._agent.deadline(attached)
        valid = not self._agent.draining and boot_s() <= valid_until
        stopped = (order.task, order.run) in attached.stopping
        wanted = turn is not None and deadline is not None and valid and not stopped
        if wanted and attached.renewal_failed:
            return NoAnswer.NOT_SENT
        if not self._fits(attached):
            return StartAnswer.UNFIT
        if not wanted or turn is None or deadline is None:
            return StartAnswer.REFUSED
        return await self._start_once(attached, order, deadline, turn)

    async def _start_once(
        self, attached: Attachment, order: RunOrder, deadline: int, turn: Turn
    ) -> StartAnswer | NoAnswer:
        """Make one call to start a run."""
        assert self._agent.executor is not None
        call = StartCall(order.task, order.run, order.command, order.saved, order.ticket, deadline)
        turn.begin()
        try:
            answer = await self._agent.executor.start(call, attached.fence)
        except ExecutorUnavailable as exc:
            turn.unanswered()
            extra = {"task": order.task, "run": order.run}
            log.info("start not answered: %s", exc, extra=extra)
            return NoAnswer.UNANSWERED
        except ExecutorFenced:
            turn.answered()
            self._agent.end_attachment(attached, "a higher fencing token was used")
            return NoAnswer.UNANSWERED
        except ExecutorError as exc:
            turn.answered()
            log.info("start failed: %s", exc, extra={"task": order.task, "run": order.run})
            return StartAnswer.BROKEN
        turn.answered()
        return answer

    async def stop(self, attached: Attachment, task: TaskId, run: int) -> None:
        """Stop a run, with retries until the executor has answered or has ended."""
        stopping = attached.stopping.get((task, run))
        if stopping is not None:
            await stopping.wait()
            return
        stopping = attached.stopping[task, run] = anyio.Event()
        self._turns.withdraw((task, run))
        await self._stop_until_answered(attached, task, run)
        del attached.stopping[task, run]
        stopping.set()

    async def _stop_until_answered(self, attached: Attachment, task: TaskId, run: int) -> None:
        while (
            attached is self._agent.attachment
            and self._agent.executor is not None
            and self._agent.has_executor
        ):
            try:
                await self._agent.executor.stop(task, run, attached.fence)
                log.info("stop answered", extra={"task": task, "run": run})
                return
            except ExecutorFenced:
                self._agent.end_attachment(attached, "a higher fencing token was used")
            except ExecutorError as exc:
                log.info("stop failed: %s", exc, extra={"task": task, "run": run})
            await anyio.sleep(ORDER_RETRY_S)

    def answer(self, attached: Attachment, task: TaskId, run: int, answer: StartAnswer) -> None:
        """Answer a start order, unless its attachment has ended."""
        if attached is self._agent.attachment:
            self._agent.send(
                attached, OrderAnswers(attached.fence, (OrderAnswer(task, run, answer),))
            )
