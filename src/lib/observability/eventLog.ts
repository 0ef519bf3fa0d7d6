/**
 * Structured log on standard output: one JSON line for each decision about a request and for each change in the
 * process's view of the system. Writing never blocks. The rate of each event is limited; the next line of the event
 * has the number of lines suppressed before it.
 */
import { destination, pino } from "pino";

export type EventFields = Readonly<Record<string, unknown>>;

export interface EventLog {
    /** `event` is a short fixed name that operators can search for. */
    info(event: string, fields?: EventFields): void;
    /** Logs a condition that an operator should act on. */
    warn(event: string, fields?: EventFields): void;
    /** Writes the buffered lines. */
    flush(): void;
}

export interface EventLogOptions {
    readonly process: string;
    readonly role: string;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
    /** Receives the lines; standard output by default. */
    readonly write?: (line: string) => void;
}

/** Maximum number of info lines of one event per second; further ones are counted and suppressed. */
export const MAX_INFO_LINES_PER_SECOND = 60;

/** The same for warnings. Higher, so that each request that fails in a burst is logged; a line takes about 20 us. */
export const MAX_WARN_LINES_PER_SECOND = 400;

/** Buffered lines are written when they exceed this size, or by the flush timer. */
const BUFFER_BYTES = 4096;
const FLUSH_INTERVAL_MS = 500;

interface RateWindow {
    startMs: number;
    lineCount: number;
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
    const rateWindows = new Map<string, RateWindow>();

    function emit(level: "info" | "warn", event: string, fields: EventFields): void {
        const now = options.now();
        let window = rateWindows.get(event);
        if (window === undefined) rateWindows.set(event, window = { startMs: now, lineCount: 0, suppressed: 0 });
        if (now - window.startMs >= 1000) {
            window.startMs = now;
            window.lineCount = 0;
        }
        if (window.lineCount >= (level === "warn" ? MAX_WARN_LINES_PER_SECOND : MAX_INFO_LINES_PER_SECOND)) {
            window.suppressed++;
            return;
        }
        window.lineCount++;
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
