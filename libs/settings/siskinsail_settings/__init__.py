"""Settings objects loaded from flags and environment variables."""

from ._command import EXIT_USAGE_ERROR as EXIT_USAGE_ERROR
from ._command import make_command as make_command
from ._field import ENVIRONMENT_PREFIX as ENVIRONMENT_PREFIX
from ._field import SettingField as SettingField
from ._field import settings_fields as settings_fields
from ._load import load_settings as load_settings
from ._parse import NamedAddress as NamedAddress
from ._table import settings_table as settings_table
