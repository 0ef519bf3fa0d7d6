/** Runs a function repeatedly, with a pause after each run, until it is stopped. */

export interface PeriodicTask {
    /** Prevents further runs. Resolves when the run in progress has ended. */
    stop(): Promise<void>;
}

/** Starts the first run at once. `run` must handle its own errors and never reject. */
export function startPeriodicTask(run: () => Promise<void>, pauseMs: () => number): PeriodicTask {
    let stopped = false;
    let timer: NodeJS.Timeout | undefined;
    let current: Promise<void> = Promise.resolve();

    function step(): void {
        if (stopped) return;
        current = run().then(() => {
            if (!stopped) timer = setTimeout(step, pauseMs());
        });
    }

    function stop(): Promise<void> {
        stopped = true;
        clearTimeout(timer);
        return current;
    }

    step();
    return { stop };
}
