"""Carries out the orders of a scheduler at an agent's executor, with retries."""

import logging
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

log = logging.getLogger(__name__)

# Pause between two attempts of an order that the executor did not answer.
ORDER_RETRY_S = 0.05


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
    """Starts and stops runs at the executor for the agent's attachment."""

    def __init__(self, agent: OrderingAgent) -> None:
        self._agent = agent

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
        name = (order.task, order.run)
        while attached is self._agent.attachment and self._agent.executor is not None:
            deadline = self._agent.deadline(attached)
            answer: StartAnswer | None = StartAnswer.REFUSED
            valid = not self._agent.draining and boot_s() <= valid_until
            wanted = deadline is not None and valid and name not in attached.stopping
            if wanted and attached.renewal_failed:
                await anyio.sleep(ORDER_RETRY_S)
                continue
            if not self._fits(attached):
                answer = StartAnswer.UNFIT
            elif wanted and deadline is not None:
                answer = await self._start_once(attached, order, deadline)
            if answer is StartAnswer.STARTED:
                return answer
            if answer is None:
                unanswered = True
                await anyio.sleep(ORDER_RETRY_S)
            elif unanswered:
                await self.stop(attached, order.task, order.run)
                return None
            else:
                return answer
        return StartAnswer.REFUSED

    async def _start_once(
        self, attached: Attachment, order: RunOrder, deadline: int
    ) -> StartAnswer | None:
        """Make one attempt to start a run; None if it was not answered or is out of date."""
        assert self._agent.executor is not None
        call = StartCall(order.task, order.run, order.command, order.saved, order.ticket, deadline)
        try:
            return await self._agent.executor.start(call, attached.fence)
        except ExecutorUnavailable as exc:
            extra = {"task": order.task, "run": order.run}
            log.info("start not answered: %s", exc, extra=extra)
        except ExecutorFenced:
            self._agent.end_attachment(attached, "a higher fencing token was used")
        except ExecutorError as exc:
            log.info("start failed: %s", exc, extra={"task": order.task, "run": order.run})
            return StartAnswer.BROKEN
        return None

    async def stop(self, attached: Attachment, task: TaskId, run: int) -> None:
        """Stop a run, with retries until the executor has answered or has ended."""
        stopping = attached.stopping.get((task, run))
        if stopping is not None:
            await stopping.wait()
            return
        stopping = attached.stopping[task, run] = anyio.Event()
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
