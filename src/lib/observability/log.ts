/**
 * Logs go through `debug`: each part of the program has a fixed prefix such as
 * `endivewell:agent:transfer`, and `DEBUG` selects what is printed. Warnings are always printed.
 */
import debug from "debug";

const ROOT_PREFIX = "endivewell";

export type LogFunction = (format: string, ...args: unknown[]) => void;

export interface Log {
    readonly info: LogFunction;
    /** For conditions that an operator should act on. */
    readonly warn: LogFunction;
}

/** Creates the log of one part. `part` is a colon-separated path such as `agent:transfer`. */
export function createLog(part: string): Log {
    const info = debug(`${ROOT_PREFIX}:${part}`);
    const warn = debug(`${ROOT_PREFIX}:${part}:warning`);
    warn.enabled = true;
    return { info, warn };
}
