"""Keys of jobs in the store."""

from dataclasses import dataclass

from apricotpath.ids import JobId


@dataclass(frozen=True, slots=True)
class JobKeys:
    """Keys of jobs in the store, under the prefix of the deployment."""

    prefix: str

    @property
    def root(self) -> str:
        """Prefix of all keys about jobs that a scheduler loads."""
        return f"{self.prefix}jobs/"

    @property
    def tombstones(self) -> str:
        """Prefix of all tombstones."""
        return f"{self.prefix}tombstones/"

    def job(self, job: JobId) -> str:
        """Return the key of a job."""
        return f"{self.root}job/{job}"

    def cancel(self, job: JobId) -> str:
        """Return the key that marks a stored job as cancelled."""
        return f"{self.root}cancel/{job}"

    def tombstone(self, job: JobId) -> str:
        """Return the key that marks a job as cancelled before it was stored."""
        return f"{self.tombstones}{job}"
