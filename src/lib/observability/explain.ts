/**
 * Explains the outcome of a request from the structured logs of all processes: from the line that ended it, the earlier
 * lines that its entry logged about it, and state changes of its servers and of the store around that time.
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

/** A parsed log line. `time`, `process` and `event` are in every line. */
export type LogLine = Readonly<z.infer<typeof logLineSchema>>;

const requestEndSchema = z.object({
    event: z.string().regex(/^request (answered|refused|failed|abandoned)$/),
    time: z.number(),
    process: z.string(),
    reason: z.string(),
    attempts: z.array(z.string()).default([]),
    retryDenial: z.string().optional(),
    waitedMs: z.number().default(0),
    tookMs: z.number().default(0),
    firstEventMs: z.number().optional(),
    targetMs: z.number().optional(),
    predictedMs: z.number().optional(),
    actualMs: z.number().optional(),
    status: z.number().optional(),
    retryAfterMs: z.number().optional(),
    allowedRegions: z.array(z.string()).optional(),
    evacuated: z.array(z.string()).optional(),
    coldServers: z.number().optional(),
});

type RequestEnd = Readonly<z.infer<typeof requestEndSchema>>;

export interface Explanation {
    readonly id: string;
    /** One sentence, or two if servers or the store failed around that time. */
    readonly cause: string;
    /** The lines about the request, its servers and the dependencies of its entry, oldest first. */
    readonly lines: readonly LogLine[];
}

/** Lines about servers and dependencies are included up to this long before and after the request's last line. */
const CONTEXT_WINDOW_MS = 5000;

/** Collects the lines that may concern one request in a single pass over logs of any length. */
export interface LogSearch {
    /** Adds one line of text. A prefix before the JSON object is skipped, and a line without one is ignored. */
    add(text: string): void;
    /** Returns `undefined` if no line has the identifier of the request. */
    explain(): Explanation | undefined;
}

const DEPENDENCY_EVENTS = new Set(["store lost", "store regained", "process started", "process stopping"]);
const SERVER_EVENTS = new Set(["server changed", "server gone", "server backing off", "server entry rejected"]);

export function createLogSearch(id: string): LogSearch {
    const requestLines: LogLine[] = [];
    const contextLines: LogLine[] = [];

    function add(text: string): void {
        const line = parseLine(text);
        if (line === undefined) return;
        if (line.id === id) requestLines.push(line);
        else if (DEPENDENCY_EVENTS.has(line.event) || SERVER_EVENTS.has(line.event)) contextLines.push(line);
    }

    function explain(): Explanation | undefined {
        const requestEnd = requestLines.flatMap(line => requestEndSchema.safeParse(line).data ?? []).at(-1);
        if (requestLines.length === 0) return undefined;
        const process = requestLines[0]?.process;
        const lastLineAt = requestLines.at(-1)?.time ?? 0;
        const triedServers = new Set(requestEnd?.attempts.map(serverNameOf));
        const nearbyLines = contextLines.filter(line => {
            if (Math.abs(line.time - lastLineAt) > CONTEXT_WINDOW_MS || line.process !== process) return false;
            return DEPENDENCY_EVENTS.has(line.event) ||
                isUnavailable(line) && (triedServers.size === 0 || triedServers.has(line.server));
        });
        const lines = [...requestLines, ...nearbyLines].toSorted((a, b) => a.time - b.time);
        const cause = requestEnd === undefined ?
            "Its end was not logged: its process stopped before, or the log is incomplete." :
            `${describeCause(requestEnd)}${describeLimits(requestEnd)}${describeContext(nearbyLines)}`;
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
        // Other output may be interleaved with the log.
        return undefined;
    }
}

/** An attempt is logged as the server's name followed by the result. */
function serverNameOf(attempt: string): string | undefined {
    return attempt.split(" ")[0];
}

/** Returns whether a server event reports any state other than ready; true for an event without a state. */
function isUnavailable({ state }: LogLine): boolean {
    return state !== "ready";
}

function describeCause(end: RequestEnd): string {
    const attempts = end.attempts.join("; ");
    return match(end)
        .with({ event: "request answered" }, describeAnswer)
        .with({ event: "request refused", status: P.union(401, 404, 413, 431) }, ({ status, reason }) => {
            return `Refused with ${status}, ${reason}, under the configuration active at that time.`;
        })
        .with({ event: "request refused", reason: "overloaded" }, ({ waitedMs, retryAfterMs }) => {
            const wait = waitedMs < 1 ? "at once" : `after waiting ${Math.round(waitedMs)} ms`;
            const tried = attempts === "" ? "" : ` after servers had refused it (${attempts})`;
            return `Refused ${wait}${tried}: the predicted wait for a server was longer than the caller could use; ` +
                `it was told to retry after ${retryAfterMs} ms.`;
        })
        .with({ event: "request refused", reason: "no server" }, () => {
            return "Refused: no server of its service was known, healthy and loaded with acceptable weights.";
        })
        .with({ event: "request refused", reason: "no server in the allowed regions" }, ({ allowedRegions = [] }) => {
            return `Refused: no server in the regions that its route and account allow (${
                allowedRegions.join(", ") || "none"
            }) was known, healthy and loaded with acceptable weights.`;
        })
        .with({ event: "request refused", reason: "servers backing off" }, ({ retryAfterMs }) => {
            return "Refused: all servers of its service had asked for a pause that was longer than the caller could " +
                `wait; it was told to retry after ${retryAfterMs} ms.`;
        })
        .with({ event: "request refused", reason: "quarantined prompt" }, () => {
            return "Refused: a part of its prompt is quarantined because requests with it crashed servers; " +
                "see the lines `prompt part quarantined` of the entries.";
        })
        .with({ event: "request failed", reason: "quarantined prompt" }, () => {
            return `Not repeated: its server crashed (${attempts}), and a part of its prompt is quarantined because ` +
                "requests with it crashed servers.";
        })
        .with({ event: "request refused" }, ({ reason }) => {
            return `Refused without having been executed: ${reason}${attempts === "" ? "" : ` (${attempts})`}.`;
        })
        .with({ event: "request failed", status: 504 }, ({ tookMs }) => {
            return `Timed out after ${tookMs} ms at a server, which may have executed it (${attempts}).`;
        })
        .with({ event: "request failed", status: 502 }, ({ reason, retryDenial }) => {
            const cause = retryDenial ?? "it may have been executed or no other server was available";
            return `Not retried (${cause}): ${reason} (${attempts}).`;
        })
        .with({ event: "request failed" }, ({ reason, retryDenial }) => {
            const isPassedOn = reason.endsWith(", passed on");
            return isPassedOn ?
                `The server itself failed and its response was forwarded (${attempts}).` :
                `Its stream was interrupted and could not be resumed (${
                    retryDenial ?? reason
                }): ${reason} (${attempts}).`;
        })
        .with({ event: "request abandoned", reason: P.string.endsWith("the end of its body") }, () => {
            return "The caller disconnected before the end of its body.";
        })
        .otherwise(({ waitedMs, tookMs, firstEventMs }) => {
            if (firstEventMs !== undefined) return `The caller disconnected after its first event (${attempts}).`;
            if (attempts === "") return `The caller disconnected after ${tookMs} ms while waiting for a server.`;
            return `The caller disconnected after ${tookMs} ms; the request waited ${Math.round(waitedMs)} ms ` +
                `and its servers did not respond (${attempts}).`;
        });
}

function describeAnswer({ firstEventMs, targetMs, waitedMs, predictedMs, actualMs, attempts }: RequestEnd): string {
    if (firstEventMs === undefined || targetMs === undefined || firstEventMs <= targetMs) {
        return "Answered; its first event was on time.";
    }
    const latePrefix = `Answered late, ${firstEventMs} ms instead of ${targetMs} ms: `;
    if (attempts.length > 1) return `${latePrefix}it was retried (${attempts.join("; ")}).`;
    if (waitedMs > firstEventMs / 2) return `${latePrefix}it waited ${Math.round(waitedMs)} ms for a server.`;
    const server = serverNameOf(attempts[0] ?? "") ?? "the server";
    if (predictedMs === undefined || actualMs === undefined) return `${latePrefix}${server} took that long.`;
    return `${latePrefix}${server} took ${actualMs} ms where ${predictedMs} ms were predicted.`;
}

/** Names what reduced the capacity when the request ended. */
function describeLimits({ allowedRegions, evacuated, coldServers }: RequestEnd): string {
    const parts = [
        ...evacuated === undefined ? [] : [`the failure domain ${evacuated.join(", ")} was evacuated`],
        ...coldServers === undefined ? [] : [`requests to ${coldServers} cold servers were limited`],
        ...allowedRegions === undefined ?
            [] :
            [`only servers in ${allowedRegions.join(", ") || "no region"} were allowed`],
    ];
    return parts.length === 0 ? "" : ` At that time, ${parts.join(" and ")}.`;
}

function describeContext(nearbyLines: readonly LogLine[]): string {
    const unavailableServers = new Set(
        nearbyLines.flatMap(({ event, server }) => SERVER_EVENTS.has(event) ? server ?? [] : []),
    );
    const hasLostStore = nearbyLines.some(({ event }) => event === "store lost");
    const parts = [
        ...unavailableServers.size === 0 ?
            [] :
            [`${unavailableServers.size} server${unavailableServers.size === 1 ? "" : "s"} became unavailable`],
        ...hasLostStore ? ["the store was unreachable"] : [],
        ...nearbyLines.some(({ event }) => event === "process stopping") ? ["the entry was stopping"] : [],
    ];
    return parts.length === 0 ? "" : ` Within ${CONTEXT_WINDOW_MS / 1000} s of it, ${parts.join(" and ")}.`;
}
