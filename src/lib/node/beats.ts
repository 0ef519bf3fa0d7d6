/**
 * Beats between own processes over UDP, and the small HTTP server from which a process that is behind reads the
 * changes of a table. A lost beat is followed by another; nothing depends on a single one.
 */
import { createSocket } from "node:dgram";
import * as http from "node:http";
import { gzip } from "node:zlib";
import * as z from "zod";
import { sendRequest } from "../clients/index.js";
import type { Row, RowReplica } from "../core/serving/index.js";

const entryHeartbeatSchema = z.object({
    kind: z.literal("entry"),
    name: z.string(),
    ip: z.string(),
    failureDomain: z.string(),
    /** Newest revision held of each table. */
    newest: z.record(z.string(), z.number()),
    /** The sender reaches the store, so it can read for its neighbours. */
    reachesStore: z.boolean(),
    /** Versions of weights that were named lately, and how long ago the sender learned of it. */
    named: z.array(z.object({ model: z.string(), version: z.number(), ageMs: z.number().nonnegative() })),
    /** Writing, reading, unread tokens and context tokens of the sender's requests, by server. */
    load: z.record(z.string(), z.tuple([z.number(), z.number(), z.number(), z.number()])),
});

const agentHeartbeatSchema = z.object({
    kind: z.literal("agent"),
    /** Address of the engine on the agent's VM. */
    backendAddress: z.string(),
    /** Start of the engine, Unix time in milliseconds. */
    startedAt: z.number(),
    /** Weights that the engine holds. */
    model: z.string(),
    version: z.number(),
    /** The engine takes no new work because it loads weights now. */
    isLoading: z.boolean(),
});

/** An entry's word to an agent that weights are named, which doesn't wait for the agent's own look at the store. */
const weightsHeartbeatSchema = z.object({ kind: z.literal("weights"), model: z.string(), version: z.number() });

const heartbeatSchema = z.discriminatedUnion("kind", [
    entryHeartbeatSchema,
    agentHeartbeatSchema,
    weightsHeartbeatSchema,
]);

export type EntryBeat = Readonly<z.infer<typeof entryHeartbeatSchema>>;
export type AgentHeartbeat = Readonly<z.infer<typeof agentHeartbeatSchema>>;
export type WeightsHeartbeat = Readonly<z.infer<typeof weightsHeartbeatSchema>>;
export type Beat = EntryBeat | AgentHeartbeat | WeightsHeartbeat;

export interface HeartbeatSocket {
    /** Sends to the port of the entries or to another one. */
    send(beat: Beat, ips: readonly string[], port?: number): void;
    close(): void;
}

/** Agents listen beside the entries' port, because an entry may run on the same VM. */
export function agentPortOf(entryPort: number): number {
    return entryPort + 1;
}

/** Sends and receives beats at the port; all entries use the same one. */
export function openBeatSocket(
    ip: string,
    port: number,
    entryPort: number,
    onHeartbeat: (beat: Beat) => void,
): HeartbeatSocket {
    const socket = createSocket("udp4");
    let closed = false;
    socket.on("message", message => {
        const beat = parseHeartbeat(message);
        if (beat !== undefined) onHeartbeat(beat);
    });
    // Sending to a VM that is gone reports an error; its silence is what counts.
    socket.on("error", () => undefined);
    socket.bind(port, ip);
    socket.unref();
    return {
        send: (beat, ips, recipientPort = entryPort) => {
            if (closed || ips.length === 0) return;
            const text = Buffer.from(JSON.stringify(beat));
            for (const recipient of ips) socket.send(text, recipientPort, recipient, () => undefined);
        },
        close: () => {
            if (closed) return;
            closed = true;
            socket.close();
        },
    };
}

function parseHeartbeat(message: Buffer): Beat | undefined {
    try {
        const result = heartbeatSchema.safeParse(JSON.parse(message.toString()));
        return result.success ? result.data : undefined;
    }
    catch {
        return undefined;
    }
}

const changesSchema = z.object({
    complete: z.boolean(),
    rows: z.array(z.object({ key: z.string(), revision: z.number(), value: z.string().optional() })),
});

export interface TableChanges {
    /** The neighbour has read the whole table once, so its changes from revision 0 are the whole table. */
    readonly isComplete: boolean;
    readonly rows: readonly Row[];
}

/** A neighbour answers from memory, but a link between regions may hold its answer up. */
const CHANGES_TIMEOUT_MS = 2000;

const CHANGES_PATH = "/changes";

/** Reads the changes of a table after a revision from a neighbour. Throws if it can't be reached. */
export async function readNeighbourChanges(
    ip: string,
    port: number,
    table: string,
    after: number,
): Promise<TableChanges> {
    const query = new URLSearchParams({ table, after: String(after) });
    const response = await sendRequest({
        method: "GET",
        url: `http://${ip}:${port}${CHANGES_PATH}?${query}`,
        timeoutMs: CHANGES_TIMEOUT_MS,
        compressed: true,
    });
    const { complete, rows } = changesSchema.parse(JSON.parse(response.body.toString()));
    return { isComplete: complete, rows: rows.map(row => ({ ...row, value: row.value })) };
}

/** Answers a request for changes; returns false if the request asks for something else. */
export function answerChanges(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    replicas: ReadonlyMap<string, RowReplica>,
): boolean {
    const url = new URL(request.url ?? "/", "http://peer");
    if (url.pathname !== CHANGES_PATH) return false;
    const replica = replicas.get(url.searchParams.get("table") ?? "");
    const after = Number(url.searchParams.get("after"));
    const complete = replica?.isComplete() ?? false;
    const body = JSON.stringify({ complete, rows: replica?.since(after) ?? [] });
    gzip(body, (error, compressed) => {
        if (error === null) {
            response.writeHead(200, { "content-type": "application/json", "content-encoding": "gzip" }).end(compressed);
        }
        else response.writeHead(500).end(error.message);
    });
    return true;
}
