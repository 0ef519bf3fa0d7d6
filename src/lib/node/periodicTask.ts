/** Runs a function repeatedly, with a pause after each run, until it is stopped. */

export interface PeriodicTask {
    /** Prevents further runs. Resolves when the run in progress has ended. */
    stop(): Promise<void>;
}

/** Starts the first run at once. `run` must handle its own errors and never reject. */
export function startPeriodicTask(run: () => Promise<void>, pauseMs: () => number): PeriodicTask {
    let isStopped = false;
    let timer: NodeJS.Timeout | undefined;
    let currentRun: Promise<void> = Promise.resolve();

    function startRun(): void {
        if (isStopped) return;
        currentRun = run().then(() => {
            if (!isStopped) timer = setTimeout(startRun, pauseMs());
        });
    }

    function stop(): Promise<void> {
        isStopped = true;
        clearTimeout(timer);
        return currentRun;
    }

    startRun();
    return { stop };
}
