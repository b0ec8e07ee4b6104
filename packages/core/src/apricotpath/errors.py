"""The exception tree; every error that a user can see is one plain sentence."""


class ApricotpathError(Exception):
    """Root of all errors raised on purpose by apricotpath."""


class InputError(ApricotpathError):
    """A setting, bundle, command line or submission is wrong; nothing was changed.

    `path` is the place in the input and `rule` the broken rule, where they are known.
    """

    def __init__(self, text: str, path: str = "", rule: str = "") -> None:
        super().__init__(text)
        self.path = path
        self.rule = rule


class SettingsError(InputError):
    """A settings file is missing, unreadable or invalid."""


class TraceError(InputError):
    """A trace is unreadable, malformed or of a newer version."""


class BundleError(InputError):
    """A bundle breaks a rule of its format."""


class SignatureError(InputError):
    """A signature is missing, wrong, or made by a key that is not trusted."""


class ConflictError(ApricotpathError):
    """Another writer changed the same record first."""


class NotFoundError(ApricotpathError):
    """There is no job, data centre or other record of the given name."""


class CodecError(ApricotpathError):
    """A frame or message is malformed, oversized or of an unknown kind."""


class LinkError(ApricotpathError):
    """A connection to another process is closed, silent or was refused."""


class PeerError(LinkError):
    """The peer answered a call with a Failure message."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class StoreError(ApricotpathError):
    """The key-value store did not do what was asked."""


class StoreUnavailable(StoreError):
    """The store could not be reached; the call had no effect."""


class StoreOutcomeUnknown(StoreError):
    """The answer to a write was lost; it may or may not have taken effect."""


class StoreLimited(StoreError):
    """The store refused a call because its rate limit was reached."""


class StoreLeaseEnded(StoreError):
    """The lease of a write has ended; the write had no effect."""


class FencedError(StoreError):
    """A write was refused because a newer owner holds the record."""


class WorkerError(ApricotpathError):
    """The worker refused a call or could not be reached."""


class WorkerUnavailable(WorkerError):
    """The worker could not be reached; the effect of the call is not known."""


class WorkerRefused(WorkerError):
    """The worker refused a call; it had no effect."""


class CapacityError(ApricotpathError):
    """A commitment would exceed the host's size."""


class RecordError(ApricotpathError):
    """A journal record is malformed or of an unknown kind."""


class JobError(ApricotpathError):
    """An operators' call on a job cannot be carried out."""


class JobUnknown(JobError):
    """No such job or task is known to its shard's owner."""


class NoOwner(JobError):
    """No reachable entry owns the shard of the job; nothing was changed."""


class RequestError(ApricotpathError):
    """A caller's request has no whole answer.

    `reason` is a short code and `retry_after_s` is 0 when no time is advised.
    """

    def __init__(self, text: str, reason: str = "", retry_after_s: float = 0.0) -> None:
        super().__init__(text)
        self.reason = reason
        self.retry_after_s = retry_after_s


class NotRun(RequestError):
    """The request did not run and never will."""


class OutcomeUnknown(RequestError):
    """Whether the request ran cannot be determined."""
