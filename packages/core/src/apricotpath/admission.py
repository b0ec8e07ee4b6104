"""Bounded queues of requests per class; time is passed in, in seconds."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from apricotpath.ids import ClassId
from apricotpath.servicerules import ClassRules

# Weight of the newest sample in the moving average of the time per dequeued request.
INTERVAL_WEIGHT = 0.1


class Refusal(Enum):
    """Why a request is refused; the value is the reason sent to the caller."""

    QUEUE_FULL = "queue-full"
    SHED = "shed"
    WOULD_EXPIRE = "deadline-too-near"
    EXPIRED = "deadline-in-queue"


@dataclass(eq=False, slots=True)
class Waiting:
    """A request waiting for a backend server; `deadline` and `since` are times in seconds."""

    rules: ClassRules
    deadline: float
    since: float


@dataclass(slots=True)
class ClassQueues:
    """Queues of one service; `total` bounds all classes together.

    With `by_priority` false it behaves as one FIFO queue that refuses the
    newest request when full, as a baseline for comparison.
    """

    total: int
    by_priority: bool = True
    queues: dict[ClassId, deque[Waiting]] = field(default_factory=dict)
    size: int = 0
    service_interval_s: float = 0.0
    last_taken_at: float | None = None

    def enqueue(self, item: Waiting, now: float) -> tuple[Refusal | None, Waiting | None]:
        """Queue a request; return (refusal, shed): why it was refused, or one shed in its place."""
        class_queue = self.queues.setdefault(item.rules.name, deque())
        if self.by_priority and len(class_queue) >= item.rules.queue:
            return Refusal.QUEUE_FULL, None
        if self.by_priority and now + self.wait_s(item) >= item.deadline:
            return Refusal.WOULD_EXPIRE, None
        shed = None
        if self.size >= self.total:
            shed = self._newest_of_lowest(item.rules.priority) if self.by_priority else None
            if shed is None:
                return Refusal.QUEUE_FULL, None
            self.remove(shed)
        class_queue.append(item)
        self.size += 1
        if self.size == 1:
            self.last_taken_at = now
        return None, shed

    def wait_s(self, item: Waiting) -> float:
        """Return the expected waiting time of a request in seconds."""
        ahead = sum(
            len(queue)
            for queue in self.queues.values()
            if queue and queue[0].rules.priority <= item.rules.priority
        )
        return ahead * self.service_interval_s

    def dequeue(self, now: float) -> Waiting | None:
        """Remove and return the next request: highest priority, then longest wait, or None."""
        heads = [queue[0] for queue in self.queues.values() if queue]
        if not heads:
            return None
        priority = 1 if self.by_priority else 0
        head = min(heads, key=lambda item: (item.rules.priority * priority, item.since))
        self.remove(head)
        if self.last_taken_at is not None:
            self.service_interval_s += INTERVAL_WEIGHT * (
                now - self.last_taken_at - self.service_interval_s
            )
        self.last_taken_at = now
        return head

    def remove(self, item: Waiting) -> bool:
        """Remove a request from its queue; false if it was not queued."""
        queue = self.queues.get(item.rules.name)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        self.size -= 1
        return True

    def expire(self, now: float) -> list[Waiting]:
        """Remove and return the requests whose deadline has passed."""
        late = [item for queue in self.queues.values() for item in queue if item.deadline <= now]
        for item in late:
            self.remove(item)
        return late

    def _newest_of_lowest(self, below: int) -> Waiting | None:
        """Return the newest request of the lowest priority, if that is below `below`, or None.

        A greater number is a lower priority.
        """
        tails = [queue[-1] for queue in self.queues.values() if queue]
        tails = [item for item in tails if item.rules.priority > below]
        return max(tails, key=lambda item: (item.rules.priority, item.since), default=None)
