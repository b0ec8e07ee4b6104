"""Exception hierarchy; the text of every error shown to users is one plain sentence."""


class ApricotpathError(Exception):
    """Base class of all errors raised deliberately by apricotpath."""


class InputError(ApricotpathError):
    """A setting, bundle, command line or submission is wrong; nothing was changed.

    `path` is the place in the input and `rule` the violated rule; both may be empty.
    """

    def __init__(self, text: str, path: str = "", rule: str = "") -> None:
        super().__init__(text)
        self.path = path
        self.rule = rule


class SettingsError(InputError):
    """A settings file is missing, unreadable or invalid."""


class TraceError(InputError):
    """A trace is unreadable, malformed or of an unsupported version."""


class BundleError(InputError):
    """A bundle is malformed or violates a rule of its format."""


class SignatureError(InputError):
    """A signature is missing, wrong, or made by a key that is not trusted."""


class ConflictError(ApricotpathError):
    """Another writer changed the same record first."""


class NotFoundError(ApricotpathError):
    """There is no job, data centre or other record with the requested name."""


class CodecError(ApricotpathError):
    """A frame or message is malformed, oversized or of an unknown kind."""


class LinkError(ApricotpathError):
    """A connection to another process was refused, closed or timed out."""


class PeerError(LinkError):
    """The peer answered a call with a Failure message."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class StoreError(ApricotpathError):
    """A call to the key-value store failed."""


class StoreUnavailable(StoreError):
    """The store could not be reached; the call had no effect."""


class StoreOutcomeUnknown(StoreError):
    """The answer to a write was lost; it may or may not have taken effect."""


class StoreLimited(StoreError):
    """The store rejected a call because of its rate limit; the call had no effect."""


class StoreLeaseEnded(StoreError):
    """The lease named in a call has ended; the call had no effect."""


class FencedError(StoreError):
    """A write was rejected because a newer owner holds the record."""


class WorkerError(ApricotpathError):
    """The worker rejected a call or could not be reached."""


class WorkerUnavailable(WorkerError):
    """The worker could not be reached; the call may have taken effect."""


class WorkerRefused(WorkerError):
    """The worker rejected a call; the call had no effect."""


class CapacityError(ApricotpathError):
    """A reservation would exceed the host's size."""


class RecordError(ApricotpathError):
    """A journal record is malformed or of an unknown kind."""


class JobError(ApricotpathError):
    """An operator's call on a job failed."""


class JobUnknown(JobError):
    """The shard's owner has no such job or task."""


class NoOwner(JobError):
    """No reachable entry owns the shard of the job; nothing was changed."""


class RequestError(ApricotpathError):
    """A caller's request did not get a complete response.

    `reason` is a short code. `retry_after_s` is the suggested delay before a
    retry in seconds, or 0.
    """

    def __init__(self, text: str, reason: str = "", retry_after_s: float = 0.0) -> None:
        super().__init__(text)
        self.reason = reason
        self.retry_after_s = retry_after_s


class NotRun(RequestError):
    """The request did not run and never will."""


class OutcomeUnknown(RequestError):
    """It cannot be determined whether the request ran."""
