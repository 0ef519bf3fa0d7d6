/**
 * Structured logs on standard output: one JSON line for each decision that touches a request or changes what the
 * process believes. Writing never blocks, and each kind of event is bounded; a line tells how many of its kind
 * were left out before it.
 */
import { destination, pino } from "pino";

export type EventFields = Readonly<Record<string, unknown>>;

export interface EventLog {
    /** `event` is a short fixed name, which operators search for. */
    info(event: string, fields?: EventFields): void;
    /** For conditions that an operator should act on. */
    warn(event: string, fields?: EventFields): void;
    /** Writes what is buffered. */
    flush(): void;
}

export interface EventLogOptions {
    readonly process: string;
    readonly role: string;
    readonly now: () => number;
    /** Receives the lines; standard output by default. */
    readonly write?: (line: string) => void;
}

/** Lines of one kind in a second; more are counted and left out. */
export const MAX_INFO_LINES_PER_SECOND = 60;

/** The same for warnings, so that each request that fails in a burst is explained; a line takes some 20 us. */
export const MAX_WARN_LINES_PER_SECOND = 400;

/** Buffered bytes after which the lines are written; a timer writes them earlier. */
const BUFFER_BYTES = 4096;
const FLUSH_INTERVAL_MS = 500;

interface RateWindow {
    start: number;
    lines: number;
    suppressed: number;
}

export function createEventLog(options: EventLogOptions): EventLog {
    const { write } = options;
    const stream = write === undefined ? destination({ fd: 1, sync: false, minLength: BUFFER_BYTES }) : { write };
    const logger = pino(
        {
            base: { process: options.process, role: options.role },
            timestamp: () => `,"time":${Date.now()}`,
            formatters: { level: label => ({ level: label }) },
            messageKey: "event",
        },
        stream,
    );
    const flush = () => "flush" in stream ? stream.flush() : undefined;
    setInterval(flush, FLUSH_INTERVAL_MS).unref();
    const windows = new Map<string, RateWindow>();

    function emit(level: "info" | "warn", event: string, fields: EventFields): void {
        const now = options.now();
        let window = windows.get(event);
        if (window === undefined) windows.set(event, window = { start: now, lines: 0, suppressed: 0 });
        if (now - window.start >= 1000) {
            window.start = now;
            window.lines = 0;
        }
        if (window.lines >= (level === "warn" ? MAX_WARN_LINES_PER_SECOND : MAX_INFO_LINES_PER_SECOND)) {
            window.suppressed++;
            return;
        }
        window.lines++;
        const { suppressed } = window;
        window.suppressed = 0;
        logger[level](suppressed === 0 ? fields : { ...fields, suppressed }, event);
    }

    return {
        info: (event, fields = {}) => emit("info", event, fields),
        warn: (event, fields = {}) => emit("warn", event, fields),
        flush,
    };
}
