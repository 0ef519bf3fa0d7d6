/** Watches a peer that is expected to send something, and reports when it has been silent for too long. */

export interface SilenceTimer {
    /** Starts to count; `timeoutMs` is the longest silence that isn't reported. */
    start(timeoutMs: number): void;
    /** Records that the peer has sent something: the same time counts again. */
    restart(): void;
    stop(): void;
    /** Returns whether the peer has been silent for longer than the time that was set. */
    isExpired(): boolean;
}

/** Interval at which a silence that lasts is reported again. */
const REPEAT_INTERVAL_MS = 250;

/**
 * `onSilence` is called when the time has passed, and repeatedly until the timer is restarted or stopped. The next call
 * follows some time after the promise of the last one has resolved; it must not reject.
 */
export function createSilenceTimer(onSilence: () => Promise<void>): SilenceTimer {
    let timer: NodeJS.Timeout | undefined;
    let timeoutMs = 0;
    let isExpired = false;
    /** Changes with each start, so that a pending call of `onSilence` doesn't schedule another one. */
    let startCount = 0;

    function expire(): void {
        isExpired = true;
        const startCountBefore = startCount;
        void onSilence().then(() => {
            if (startCount === startCountBefore) timer = setTimeout(expire, REPEAT_INTERVAL_MS);
        });
    }

    function start(newTimeoutMs: number): void {
        stop();
        timeoutMs = newTimeoutMs;
        timer = setTimeout(expire, timeoutMs);
    }

    function restart(): void {
        if (timer === undefined || isExpired) {
            start(timeoutMs);
            return;
        }
        timer.refresh();
    }

    function stop(): void {
        startCount++;
        clearTimeout(timer);
        timer = undefined;
        isExpired = false;
    }

    return { start, restart, stop, isExpired: () => isExpired };
}
