"""A stop signal is never lost, wherever the main thread is when it arrives."""

import signal
import subprocess
import sys
import textwrap

import pytest

TIMEOUT_S = 60
"""Time after which a process is taken to have missed its signal."""

MAX_STEPS = 60
"""Upper bound of the steps of the wait at which a signal is sent; the wait has fewer."""


def exits_cleanly(code):
    """Return whether a process that runs this code exits by itself with status 0."""
    process = [sys.executable, "-c", textwrap.dedent(code)]
    return subprocess.run(process, timeout=TIMEOUT_S).returncode == 0


def test_signal_at_any_step_of_the_wait_ends_it():
    """The signal arrives at the n-th trace event of the wait; one process tries every third n."""
    assert exits_cleanly(f"""
        import signal, sys, threading
        from gypsumwind.signals import StopSignals

        def signal_at(step):
            steps = 0

            def trace(frame, event, arg):
                nonlocal steps
                steps += 1
                if steps == step:
                    signal.raise_signal(signal.SIGTERM)
                return trace

            with StopSignals() as signals:
                if step >= {MAX_STEPS}:
                    signal.raise_signal(signal.SIGTERM)
                late = threading.Timer(0.2, signal.raise_signal, [signal.SIGTERM])
                late.start()
                sys.settrace(trace)
                signals.wait()
                sys.settrace(None)
                late.join()

        for step in range(1, {MAX_STEPS} + 1, 3):
            signal_at(step)
        """)


def test_signal_delivered_to_another_thread_wakes_the_main_thread():
    assert exits_cleanly("""
        import signal, threading, time
        from gypsumwind.signals import StopSignals

        def send():
            time.sleep(0.2)
            signal.pthread_kill(threading.get_ident(), signal.SIGTERM)

        with StopSignals() as signals:
            threading.Thread(target=send).start()
            signals.wait()
        """)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signal_before_the_wait_is_not_lost(number):
    assert exits_cleanly(f"""
        import signal
        from gypsumwind.signals import StopSignals

        with StopSignals() as signals:
            signal.raise_signal({int(number)})
            signals.wait()
        """)
