"""Claims of idempotency keys without a look-up prefix, by conditional create in the store."""

import random

import xxhash

from gypsumwind.core.idempotency import KeyPrefix
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError, StoreError
from gypsumwind.settings import Settings
from gypsumwind.stores import Store, StoredObject
from gypsumwind.utils import jittered, wall

KEY_PREFIX = "keys/"
RETRY_AFTER_S = 2.0

MAX_WRITES = 3
"""Writes of a claim until the outcome of one is known."""


class KeyClaims:
    """Finds the home of a key without prefix: the first VM that creates its claim."""

    def __init__(
        self, cfg: Settings, initial_incarnation: int, store: Store, rng: random.Random
    ) -> None:
        self._cfg = cfg
        self._initial_incarnation = initial_incarnation
        self._store = store
        self._rng = rng

    def home_of(self, key: str) -> KeyPrefix:
        """Return the home of a key without prefix, claiming it if it has none.

        Raise RequestError with MAY_HAVE_RUN while the store is unavailable: the key may have
        run at another VM.
        """
        store_key = KEY_PREFIX + xxhash.xxh128_hexdigest(key.encode())
        own = KeyPrefix(self._cfg.vm, self._initial_incarnation, int(wall() + self._cfg.key_ttl_s))
        try:
            found = self._store.get(store_key)
            if found is None:
                found = self._claim(store_key, key, own)
        except StoreError as exc:
            raise self._unavailable(exc) from exc
        if found is None:
            return own
        value = found.value
        if value.get("key") != key:
            text = "the key collides with another one; choose another"
            raise RequestError(Code.KEY_CLAIM_UNAVAILABLE, text, Verdict.NOT_RUN, 409)
        return KeyPrefix(value["vm"], value["incarnation"], value["expires"])

    def _claim(self, store_key: str, key: str, own: KeyPrefix) -> StoredObject | None:
        """Create the claim; return None on success, else the existing claim.

        A write whose outcome is unknown may still be applied, or never: only a claim that is in the
        store, or a write that is known to have succeeded, makes this VM the home of the key.
        """
        value = {
            "key": key,
            "vm": own.vm,
            "incarnation": own.incarnation,
            "expires": own.expires,
        }
        for _ in range(MAX_WRITES):
            try:
                self._store.put(store_key, value, None)
                return None
            except StoreError as exc:
                if exc.code is Code.STORE_UNAVAILABLE:
                    raise
            found = self._store.get(store_key)
            if found is not None:
                return found
        raise StoreError(Code.STORE_OUTCOME_UNKNOWN, f"no outcome of {MAX_WRITES} writes is known")

    def _unavailable(self, exc: StoreError) -> RequestError:
        wait = jittered(RETRY_AFTER_S, self._rng)
        text = f"the key has no prefix from a look-up and cannot be claimed: {exc.message}"
        return RequestError(Code.KEY_CLAIM_UNAVAILABLE, text, Verdict.MAY_HAVE_RUN, 503, wait)
