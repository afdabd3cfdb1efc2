"""Reads the few lines of TOML that deploy/system.toml uses, without a library."""
import re


def load(file):
    root, table = {}, None
    table = root
    for line in file:
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        if line.startswith("["):
            table = root
            for part in line.strip("[]").split("."):
                table = table.setdefault(part, {})
            continue
        name, value = [part.strip() for part in line.split("=", 1)]
        text = re.match(r'^"(.*)"$', value)
        table[name] = text.group(1) if text else value
    return root
