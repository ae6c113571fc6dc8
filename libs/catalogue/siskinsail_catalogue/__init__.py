"""Catalogue entries, views and the compare-and-set state machine."""

from ._entry import AccountEntry as AccountEntry
from ._entry import BackendServerEntry as BackendServerEntry
from ._entry import DataCentreEntry as DataCentreEntry
from ._entry import Entry as Entry
from ._entry import entry_kind as entry_kind
from ._entry import entry_to_dict as entry_to_dict
from ._entry import EntryHead as EntryHead
from ._entry import KeyEntry as KeyEntry
from ._entry import RouteEntry as RouteEntry
from ._entry import ServiceEntry as ServiceEntry
from ._key_digest import key_digest as key_digest
from ._view import BackendServer as BackendServer
from ._view import GroupState as GroupState
from ._view import View as View
from ._view import ViewSource as ViewSource
