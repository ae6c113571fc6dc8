"""Identifier and version types."""

from typing import NewType

VmId = NewType('VmId', str)
DataCentreId = NewType('DataCentreId', str)
RegionId = NewType('RegionId', str)
ServiceId = NewType('ServiceId', str)
DatabaseId = NewType('DatabaseId', str)
AccountId = NewType('AccountId', str)
RouteId = NewType('RouteId', str)
SessionId = NewType('SessionId', str)
RequestId = NewType('RequestId', str)
TransactionId = NewType('TransactionId', str)
DiskId = NewType('DiskId', str)
KeyDigest = NewType('KeyDigest', str)
Term = NewType('Term', int)
LogIndex = NewType('LogIndex', int)
ViewVersion = NewType('ViewVersion', int)
CatalogueVersion = NewType('CatalogueVersion', int)
ConfigurationVersion = NewType('ConfigurationVersion', int)
EntryVersion = NewType('EntryVersion', int)
OrderNumber = NewType('OrderNumber', int)
