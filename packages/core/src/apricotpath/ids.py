"""Typed identifiers shared by all packages."""

from typing import NewType

DataCentreId = NewType("DataCentreId", str)
RackId = NewType("RackId", str)
HostId = NewType("HostId", str)
BackendId = NewType("BackendId", str)
ServiceId = NewType("ServiceId", str)
TeamId = NewType("TeamId", str)
ClassId = NewType("ClassId", str)
EntryId = NewType("EntryId", str)
ProcessId = NewType("ProcessId", str)
IncarnationId = NewType("IncarnationId", str)
ShardId = NewType("ShardId", int)
Epoch = NewType("Epoch", int)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
RequestId = NewType("RequestId", str)
KeyId = NewType("KeyId", str)
QueueId = NewType("QueueId", str)
InstanceId = NewType("InstanceId", str)
FenceToken = NewType("FenceToken", int)
