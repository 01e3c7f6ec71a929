"""Types of the identifiers and counters that several packages share."""

from typing import NewType

InstanceName = NewType('InstanceName', str)
IncarnationId = NewType('IncarnationId', str)
DataCentre = NewType('DataCentre', str)
Rack = NewType('Rack', str)
Region = NewType('Region', str)
TeamName = NewType('TeamName', str)
ServiceName = NewType('ServiceName', str)
TaskId = NewType('TaskId', str)
AttemptNumber = NewType('AttemptNumber', int)
ResourceName = NewType('ResourceName', str)
RequestId = NewType('RequestId', str)
ClaimKey = NewType('ClaimKey', str)
Revision = NewType('Revision', int)
Term = NewType('Term', int)
LogIndex = NewType('LogIndex', int)
Ticket = NewType('Ticket', int)
ClaimId = NewType('ClaimId', str)
