"""Location of the settings file and names of its keys. Imports no third-party library."""

SETTINGS_VARIABLE = "PEWTERRING_CONFIG"  # environment variable with the path of the file
DEFAULT_PATH = "/etc/pewterring/node.conf"
LAST_PORT = 65535
FRONT = "listen_addrs.front"
READY = "listen_addrs.ready"
CONTROL = "listen_addrs.control"
REQUIRED_BY = {
    "gateway": (FRONT, READY),
    "control": (CONTROL, "data_dir"),
    "store": ("data_dir",),
}
# Keys that are documented for operators but that no program in this repository reads.
UNUSED_PREFIXES = ("zones.", "bounds.")
UNUSED_KEYS = frozenset(
    {
        "role",
        "instance_class",
        "serves",
        "counts_for_quorum",
        "limits.cpu_cores",
        "limits.link_mbps",
        "discovery",
        "entry",
        "contracts",
        "fault_tolerance.zones",
        "fault_tolerance.regions",
    }
)
