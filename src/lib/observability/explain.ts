/**
 * Finds the cause of a request's end in the structured logs of all processes: the line that ended it, what its
 * entry logged about it before, and what was known of its servers around that time.
 */
import { match, P } from "ts-pattern";
import * as z from "zod";

const logLineSchema = z.looseObject({
    time: z.number(),
    process: z.string(),
    event: z.string(),
    id: z.string().optional(),
    server: z.string().optional(),
    state: z.string().optional(),
});

/** One line of the log with the fields that every line has. */
export type LogLine = Readonly<z.infer<typeof logLineSchema>>;

const requestEndSchema = z.object({
    event: z.string().regex(/^request (answered|refused|failed|abandoned)$/),
    time: z.number(),
    process: z.string(),
    reason: z.string(),
    attempts: z.array(z.string()).default([]),
    waitedMs: z.number().default(0),
    tookMs: z.number().default(0),
    firstEventMs: z.number().optional(),
    targetMs: z.number().optional(),
    predictedMs: z.number().optional(),
    actualMs: z.number().optional(),
    status: z.number().optional(),
    retryAfterMs: z.number().optional(),
});

type RequestEnd = Readonly<z.infer<typeof requestEndSchema>>;

export interface Explanation {
    readonly id: string;
    /** One sentence. */
    readonly cause: string;
    /** The lines that speak of the request, its servers and its entry's dependencies, oldest first. */
    readonly lines: readonly LogLine[];
}

/** Changes of a server or a dependency count if they were logged this long before or after the request's end. */
const CONTEXT_WINDOW_MS = 5000;

/** Collects the lines that may speak of a request, so that logs of any length are read once. */
export interface LogSearch {
    /** Takes one line of text; whatever stands before the JSON object is skipped, and text without one ignored. */
    add(text: string): void;
    /** Returns `undefined` if no line names the request. */
    explain(): Explanation | undefined;
}

const DEPENDENCY_EVENTS = new Set(["store lost", "store regained", "process started", "process stopping"]);
const SERVER_EVENTS = new Set(["server changed", "server gone", "server entry rejected"]);

export function searchLog(id: string): LogSearch {
    const requestLines: LogLine[] = [];
    const contextLines: LogLine[] = [];

    function add(text: string): void {
        const line = parseLine(text);
        if (line === undefined) return;
        if (line.id === id) requestLines.push(line);
        else if (DEPENDENCY_EVENTS.has(line.event) || SERVER_EVENTS.has(line.event)) contextLines.push(line);
    }

    function explain(): Explanation | undefined {
        const end = requestLines.flatMap(line => requestEndSchema.safeParse(line).data ?? []).at(-1);
        if (requestLines.length === 0) return undefined;
        const process = requestLines[0]?.process;
        const endedAt = requestLines.at(-1)?.time ?? 0;
        const servers = new Set(end?.attempts.map(serverNameOf));
        const nearbyLines = contextLines.filter(line => {
            if (Math.abs(line.time - endedAt) > CONTEXT_WINDOW_MS || line.process !== process) return false;
            return DEPENDENCY_EVENTS.has(line.event) ||
                isUnavailable(line) && (servers.size === 0 || servers.has(line.server));
        });
        const lines = [...requestLines, ...nearbyLines].toSorted((a, b) => a.time - b.time);
        const cause = end === undefined ?
            "Its end was not logged: its process ended first, or was cut off." :
            `${describeCause(end)}${describeContext(nearbyLines)}`;
        return { id, cause, lines };
    }

    return { add, explain };
}

function parseLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    if (start < 0) return undefined;
    try {
        return logLineSchema.safeParse(JSON.parse(text.slice(start))).data;
    }
    catch {
        // Other output may be mixed with the log.
        return undefined;
    }
}

/** An attempt is logged as the server's name and the result. */
function serverNameOf(attempt: string): string | undefined {
    return attempt.split(" ")[0];
}

function isUnavailable({ state }: LogLine): boolean {
    return state !== "ready";
}

function describeCause(end: RequestEnd): string {
    const attemptsText = end.attempts.join("; ");
    return match(end)
        .with({ event: "request answered" }, explainAnswer)
        .with({ event: "request refused", status: P.union(401, 404, 413) }, ({ status, reason }) => {
            return `Refused with ${status}, ${reason}, under the configuration then in force.`;
        })
        .with({ event: "request refused", reason: "overloaded" }, ({ waitedMs, retryAfterMs }) => {
            const wait = waitedMs < 1 ? "at once" : `after waiting ${Math.round(waitedMs)} ms`;
            const tried = attemptsText === "" ? "" : ` after servers had refused it (${attemptsText})`;
            return `Refused ${wait}${tried}: the predicted wait for a server was longer than the caller could use; ` +
                `it was told to come back after ${retryAfterMs} ms.`;
        })
        .with({ event: "request refused", reason: "no server" }, () => {
            return "Refused: no server of its service was known, sound and with acceptable weights.";
        })
        .with({ event: "request refused" }, ({ reason }) => {
            return `Refused without having run: ${reason}${attemptsText === "" ? "" : ` (${attemptsText})`}.`;
        })
        .with({ event: "request failed", status: 504 }, ({ tookMs }) => {
            return `Its time was over after ${tookMs} ms while it was at a server, which may have run it (${attemptsText}).`;
        })
        .with({ event: "request failed", status: 502 }, ({ reason }) => {
            return `Not sent again because it may have run or no further server was to be had: ${reason} (${attemptsText}).`;
        })
        .with({ event: "request failed" }, ({ reason }) => {
            const isPassedOn = reason.endsWith(", passed on");
            return isPassedOn ?
                `The server itself failed and its answer was passed on (${attemptsText}).` :
                `Its stream broke off and could not be continued: ${reason} (${attemptsText}).`;
        })
        .otherwise(({ waitedMs, tookMs, firstEventMs }) => {
            if (firstEventMs !== undefined) return `The caller left after its first event (${attemptsText}).`;
            if (attemptsText === "") return `The caller left after ${tookMs} ms while the request waited for a server.`;
            return `The caller left after ${tookMs} ms; the request waited ${
                Math.round(waitedMs)
            } ms and its servers ` +
                `did not answer (${attemptsText}).`;
        });
}

function explainAnswer({ firstEventMs, targetMs, waitedMs, predictedMs, actualMs, attempts }: RequestEnd): string {
    if (firstEventMs === undefined || targetMs === undefined || firstEventMs <= targetMs) {
        return "Answered; its first event was on time.";
    }
    const late = `Answered late, ${firstEventMs} ms instead of ${targetMs} ms: `;
    if (attempts.length > 1) return `${late}it was sent again (${attempts.join("; ")}).`;
    if (waitedMs > firstEventMs / 2) return `${late}it waited ${Math.round(waitedMs)} ms for a server.`;
    const server = serverNameOf(attempts[0] ?? "") ?? "the server";
    if (predictedMs === undefined || actualMs === undefined) return `${late}${server} took that long.`;
    return `${late}${server} took ${actualMs} ms where ${predictedMs} ms were predicted.`;
}

function describeContext(near: readonly LogLine[]): string {
    const leaving = new Set(near.flatMap(({ event, server }) => SERVER_EVENTS.has(event) ? server ?? [] : []));
    const lost = near.some(({ event }) => event === "store lost");
    const parts = [
        ...leaving.size === 0 ? [] : [`${leaving.size} server${leaving.size === 1 ? "" : "s"} left or vanished`],
        ...lost ? ["the store was lost"] : [],
        ...near.some(({ event }) => event === "process stopping") ? ["the entry was stopping"] : [],
    ];
    return parts.length === 0 ? "" : ` Within ${CONTEXT_WINDOW_MS / 1000} s of it, ${parts.join(" and ")}.`;
}
