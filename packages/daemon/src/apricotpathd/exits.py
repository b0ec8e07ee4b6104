"""Exit codes of the programs, and reports of fatal errors."""

import sys

from apricotpath.errors import ApricotpathError, InputError, LinkError

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


def report_error(program: str, exc: BaseException) -> int:
    """Print an ApricotpathError as one sentence and return the exit code; re-raise any other."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    if not isinstance(exc, ApricotpathError):
        raise exc
    print(f"{program}: {exc}", file=sys.stderr)
    return EXIT_BAD_INPUT if isinstance(exc, InputError | LinkError) else EXIT_FAILED
