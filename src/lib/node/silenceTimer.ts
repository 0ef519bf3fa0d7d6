/**
 * Watches a peer that is expected to send something, and reports when it has been silent for too long. The time is
 * counted in steps. After each step the event loop reads what has arrived, because Node runs timers before it reads from
 * sockets, and a pause of this process adds one step at most.
 */

export interface SilenceTimer {
    /** Starts to count; `timeoutMs` is the longest silence that isn't reported. */
    start(timeoutMs: number): void;
    /** Records that the peer has sent something: the same time counts again. */
    restart(): void;
    stop(): void;
    /** Returns whether the peer has been silent for longer than the time that was set. */
    isExpired(): boolean;
}

/** Longest step, and the interval at which a silence that lasts is reported again. */
const MAX_STEP_MS = 250;

/**
 * `onSilence` is called when the time has passed, and repeatedly until the timer is restarted or stopped. The next call
 * follows some time after the promise of the last one has resolved; it must not reject.
 */
export function createSilenceTimer(onSilence: () => Promise<void>): SilenceTimer {
    let timer: NodeJS.Timeout | undefined;
    let immediate: NodeJS.Immediate | undefined;
    let timeoutMs = 0;
    let stepCount = 0;
    let remainingSteps = 0;
    let isExpired = false;
    /** Changes with each start, so that a pending call of `onSilence` doesn't schedule another one. */
    let startCount = 0;

    function onTimer(): void {
        immediate = setImmediate(endStep);
    }

    function endStep(): void {
        remainingSteps--;
        if (remainingSteps > 0) {
            timer?.refresh();
            return;
        }
        isExpired = true;
        const startCountBefore = startCount;
        void onSilence().then(() => {
            if (startCount === startCountBefore) timer = setTimeout(onTimer, MAX_STEP_MS);
        });
    }

    function start(newTimeoutMs: number): void {
        stop();
        timeoutMs = newTimeoutMs;
        stepCount = Math.max(1, Math.ceil(timeoutMs / MAX_STEP_MS));
        remainingSteps = stepCount;
        timer = setTimeout(onTimer, timeoutMs / stepCount);
    }

    function restart(): void {
        if (timer === undefined || isExpired) {
            start(timeoutMs);
            return;
        }
        clearImmediate(immediate);
        remainingSteps = stepCount;
        timer.refresh();
    }

    function stop(): void {
        startCount++;
        clearTimeout(timer);
        clearImmediate(immediate);
        timer = undefined;
        isExpired = false;
    }

    return { start, restart, stop, isExpired: () => isExpired };
}
