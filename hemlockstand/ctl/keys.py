"""The verbs ``key grant``, ``key withdraw`` and ``key list``.

The key is generated here and shown once. Only a salt and the digest are sent,
so the daemon cannot reveal the key, and a lost reply cannot lose it.
"""

import hashlib
import secrets

from hemlockstand.ctl.commands import Command, Context, UsageError, format_table
from hemlockstand.ctl.exits import ExitCode
from hemlockstand.ctl.waiting import wait_if_requested

KEY_PREFIX = "hsk"
SECRET_BYTES = 32
SALT_BYTES = 16


def make_key(name: str) -> str:
    """Return a new key, ``hsk_NAME_SECRET``, as callers present it."""
    return f"{KEY_PREFIX}_{name}_{secrets.token_hex(SECRET_BYTES)}"


def digest_key(salt: str, key: str) -> str:
    """Return the hexadecimal SHA-256 of the salt followed by the whole key."""
    return hashlib.sha256((salt + key).encode()).hexdigest()


async def grant(context: Context) -> ExitCode:
    """Grant a key and show it once."""
    name = context.arguments[0]
    if not context.flags.team:
        raise UsageError("--team is needed")
    key = make_key(name)
    salt = secrets.token_hex(SALT_BYTES)
    result = await context.client.post(
        "key/grant",
        name=name,
        team=context.flags.team,
        salt=salt,
        digest=digest_key(salt, key),
    )
    lines = [
        f"key {name} of team {context.flags.team} is granted, "
        f"version {result['version']}",
        "it is shown this once:",
        key,
    ]
    return await wait_if_requested(context, result | {"key": key}, lines)


async def withdraw(context: Context) -> ExitCode:
    """Withdraw a key."""
    name = context.arguments[0]
    result = await context.client.post("key/withdraw", name=name)
    line = f"key {name} is withdrawn, version {result['version']}"
    return await wait_if_requested(context, result, [line])


async def list_keys(context: Context) -> ExitCode:
    """List the keys."""
    result = await context.client.get("key/list")
    rows = [(key["name"], key["team"]) for key in result["keys"]]
    context.show(result, format_table(("key", "team"), rows))
    return ExitCode.OK


KEY_COMMANDS = (
    Command(
        ("key", "grant"), "Grant a key; shown once. Needs --team.", grant, ("NAME",)
    ),
    Command(("key", "withdraw"), "Withdraw a key.", withdraw, ("NAME",)),
    Command(("key", "list"), "List the keys.", list_keys),
)
