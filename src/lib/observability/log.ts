/**
 * Diagnostic logs, written with the `debug` package. Each component has a fixed prefix such as
 * `endivewell:agent:transfer`; the environment variable `DEBUG` selects what is printed. Warnings are always printed.
 */
import debug from "debug";

const ROOT_PREFIX = "endivewell";

export type LogFunction = (format: string, ...args: unknown[]) => void;

export interface Log {
    readonly info: LogFunction;
    /** Logs a condition that an operator should act on. */
    readonly warn: LogFunction;
}

/** Creates the log of one component. `component` is a colon-separated path such as `agent:transfer`. */
export function createLog(component: string): Log {
    const info = debug(`${ROOT_PREFIX}:${component}`);
    const warn = debug(`${ROOT_PREFIX}:${component}:warning`);
    warn.enabled = true;
    return { info, warn };
}
