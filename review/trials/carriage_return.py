"""A client sends requests with a carriage return within a field; others send sound ones."""

import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from kit import Stream, configuration, head, main, route, trouble  # noqa: E402

PER_S, BAD_PER_S, CALM_S, LENGTH_S = 40, 40, 5.0, 25.0
MOST_REFUSED = 0.6


def case(d):
    rule = route("look", "safe", "/look/", "lookup", timeout_s=2)
    d.store.put("config", "main", configuration(12, [rule]))
    for n in range(12):
        d.instance(f"i-{n}", work=lambda *_: (0.3, b"x" * 100))
    vms = d.start("a1", "a1")
    began, results = time.monotonic(), []

    def ask(name, **fields):
        sock = random.choice(vms).connect(3.0)
        try:
            sock.sendall(head("GET", f"/look/{name}", name, deadline_ms=3000, **fields))
            return Stream(sock).answer()[0]
        except (OSError, EOFError, ValueError):
            return 0
        finally:
            sock.close()

    def sound(n):
        results.append((time.monotonic() - began, ask(f"sound-{n}")))

    def unsound():
        time.sleep(CALM_S)
        n = 0
        while trouble() and time.monotonic() - began < LENGTH_S:
            n += 1
            d.record(f"client gets {ask(f'bad-{n}', X_Note=chr(13).join('ab'))} for bad-{n}")
            time.sleep(1 / BAD_PER_S)

    threads = [threading.Thread(target=unsound)]
    threads[0].start()
    for n in range(int(LENGTH_S * PER_S)):
        threads.append(threading.Thread(target=sound, args=(n,)))
        threads[-1].start()
        time.sleep(1 / PER_S)
    for thread in threads:
        thread.join()
    later = [status for at, status in results if at > CALM_S]
    failed = sum(status != 200 for status in later)
    text = f"of {len(later)} sound requests beside the others, {failed} were refused or failed"
    d.record(text)
    return [f"Gate: {text}"] if failed > MOST_REFUSED * len(later) else []


main(case, Path(__file__).parent)
