/** Limits how many operations run at the same time and starts the waiting ones in the order of their priority. */

export interface OrderedLimit {
    /** Runs the operation as soon as fewer than the maximum run; waiting ones with a lower `priority` run first. */
    run<T>(priority: number, operation: () => Promise<T>): Promise<T>;
}

/** `maxConcurrent` is read at every start, so that the limit may change. */
export function createOrderedLimit(maxConcurrent: () => number): OrderedLimit {
    const waiting: { readonly priority: number; readonly start: () => void; }[] = [];
    let runningCount = 0;

    function startNext(): void {
        while (runningCount < maxConcurrent()) {
            const next = waiting.shift();
            if (next === undefined) return;
            runningCount++;
            next.start();
        }
    }

    return {
        run: async (priority, operation) => {
            await new Promise<void>(start => {
                const index = waiting.findIndex(other => other.priority > priority);
                waiting.splice(index < 0 ? waiting.length : index, 0, { priority, start });
                startNext();
            });
            try {
                return await operation();
            }
            finally {
                runningCount--;
                startNext();
            }
        },
    };
}
