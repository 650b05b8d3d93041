"""Claims of foreign idempotency keys (without a prefix) by conditional create on the platform."""

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


class KeyClaims:
    """Finds the home of a foreign key: the first VM that creates its claim."""

    def __init__(self, cfg: Settings, boot: int, store: Store, rng: random.Random) -> None:
        self._cfg = cfg
        self._boot = boot
        self._store = store
        self._rng = rng

    def home_of(self, key: str) -> KeyPrefix:
        """Return the home of a foreign key, claiming it if no one has.

        While the store does not answer, the key may have run elsewhere: MAY_HAVE_RUN.
        """
        place = KEY_PREFIX + xxhash.xxh128_hexdigest(key.encode())
        mine = KeyPrefix(self._cfg.vm, self._boot, int(wall() + self._cfg.key_ttl_s))
        try:
            found = self._store.get(place)
            if found is None:
                found = self._claim(place, key, mine)
        except StoreError as exc:
            raise self._unavailable(exc) from exc
        if found is None:
            return mine
        value = found.value
        if value.get("key") != key:
            text = "the key collides with another one; choose another"
            raise RequestError(Code.KEY_CLAIM_UNAVAILABLE, text, Verdict.NOT_RUN, 409)
        return KeyPrefix(value["vm"], value["incarnation"], value["expires"])

    def _claim(self, place: str, key: str, mine: KeyPrefix) -> StoredObject | None:
        """Create the claim; return None if it is ours, else the claim that stands."""
        value = {
            "key": key,
            "vm": mine.vm,
            "incarnation": mine.incarnation,
            "expires": mine.expires,
        }
        try:
            self._store.put(place, value, None)
        except StoreError as exc:
            if exc.code is Code.STORE_UNAVAILABLE:
                raise
            return self._store.get(place)
        return None

    def _unavailable(self, exc: StoreError) -> RequestError:
        wait = jittered(RETRY_AFTER_S, self._rng)
        text = f"the key has no prefix from a look-up and cannot be claimed: {exc.message}"
        return RequestError(Code.KEY_CLAIM_UNAVAILABLE, text, Verdict.MAY_HAVE_RUN, 503, wait)
