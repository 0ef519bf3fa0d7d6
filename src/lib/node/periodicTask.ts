/** Runs a step again and again with a pause between two runs, until it is stopped. */

export interface PeriodicTask {
    /** Resolves when the run in progress has ended. No further run starts. */
    stop(): Promise<void>;
}

/** `run` must not throw; it handles its own errors. */
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
