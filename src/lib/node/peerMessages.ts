/**
 * Sends and receives the heartbeats of entries and agents, the notifications of named weights and the reservations of
 * slots, over UDP. Sends crashes of servers and survivals of prompts between entries. Serves table changes over HTTP,
 * so that an entry that is behind can read them from a peer. Heartbeats are periodic, and a notification is repeated
 * until the agent's heartbeats show the version, so the loss of a message is harmless.
 */
import { createSocket } from "node:dgram";
import * as http from "node:http";
import { gzip } from "node:zlib";
import * as z from "zod";
import { sendRequest } from "../clients/index.js";
import {
    INITIAL_POSITION,
    MAX_REPORTED_PARTS,
    MAX_REPORTED_QUARANTINES,
    type RowChanges,
    type RowReplica,
    type StorePosition,
} from "../core/serving/index.js";

/** The four numbers of a load by server. */
const serverLoadSchema = z.tuple([z.number(), z.number(), z.number(), z.number()]);

const senderFields = {
    name: z.string(),
    ip: z.string(),
    failureDomain: z.string(),
    /** Newest revision that the sender holds, by table. */
    newest: z.record(z.string(), z.number()),
    /** Epoch of that revision, by table. Entries of earlier versions send none. */
    epochs: z.record(z.string(), z.number()).optional(),
    /**
     * Latest time of the store's clock at which the sender is known to have held every change, by table. Entries of
     * earlier versions send none.
     */
    confirmed: z.record(z.string(), z.number()).optional(),
    /** Revision after which `newest` shows every change, by table; see `RowReplica.tracedPosition`. */
    traced: z.record(z.string(), z.number()).optional(),
    /** Epoch and revision of the newest row that the sender retains from before a restoration of the store, by table. */
    retained: z.record(z.string(), z.tuple([z.number(), z.number()])).optional(),
    /** Time since the sender last saw the store fail; `undefined` if it hasn't. */
    storeOutageAgeMs: z.number().nonnegative().optional(),
    /** Recently named weights versions, each with the time since the sender learned of it. */
    named: z.array(z.object({ model: z.string(), version: z.number(), ageMs: z.number().nonnegative() })),
    /**
     * Load by server: the number of requests with a first event and of those without one, the prompt tokens of the
     * latter, and the context tokens of the former with the expected answers, see `EngineLoad`. A heartbeat has the
     * load from the sender's own requests, a digest that from all requests of the sender's failure domain.
     */
    load: z.record(z.string(), serverLoadSchema),
    /** Number of requests in flight by account, of the same requests. Entries of earlier versions send none. */
    accounts: z.record(z.string(), z.number().nonnegative()).optional(),
    /** Quarantined parts of prompts; see `QuarantineReport`. Entries of earlier versions send none. */
    quarantines: z.array(z.object({
        part: z.string(),
        parts: z.array(z.string()).min(2).max(MAX_REPORTED_PARTS).readonly().optional(),
        lastCrashAgeMs: z.number().nonnegative(),
        probeInMs: z.number(),
        intervalMs: z.number().positive(),
        weightsVersion: z.number(),
    })).max(MAX_REPORTED_QUARANTINES).optional(),
};

const entryHeartbeatSchema = z.object({
    kind: z.literal("entry"),
    ...senderFields,
    /** Whether the sender can reach the store, and so can read it for its peers. */
    reachesStore: z.boolean(),
});

/** Sent to entries of other failure domains on behalf of all entries of the sender's domain. */
const domainDigestSchema = z.object({
    kind: z.literal("domain"),
    ...senderFields,
    /** Live entries of the domain, including the sender, each with the time since its last heartbeat. */
    entries: z.array(z.object({
        name: z.string(),
        ip: z.string(),
        ageMs: z.number().nonnegative(),
        reachesStore: z.boolean(),
    })),
});

const agentHeartbeatSchema = z.object({
    kind: z.literal("agent"),
    /** Address of the engine on the agent's VM. */
    backendAddress: z.string(),
    /** Start time of the engine, in Unix milliseconds. */
    startedAt: z.number(),
    /** Model whose weights the engine holds. */
    model: z.string(),
    /** Version of the weights; 0 for none. */
    version: z.number(),
    /** Whether the engine accepts no new requests because it loads weights or is about to. */
    isLoading: z.boolean(),
    /** Factor by which the engine is slower than declared, as it reports itself; agents of earlier versions send none. */
    slowdown: z.number().positive().optional(),
});

/** Sent by an entry to tell an agent about named weights before the agent's next poll of the store. */
const weightsNotificationSchema = z.object({ kind: z.literal("weights"), model: z.string(), version: z.number() });

/** Asks the owner of a server for a slot; see `SlotRequest`. */
const reservationRequestSchema = z.object({
    kind: z.literal("reserve"),
    /** Identifies the request among those of the sender. */
    id: z.number(),
    name: z.string(),
    ip: z.string(),
    failureDomain: z.string(),
    serverId: z.string(),
    promptTokens: z.number(),
    /** Entries of earlier versions send none. */
    outputTokens: z.number().optional(),
    maxRunning: z.number(),
    /** `undefined` for no limit. */
    maxFirstEventMs: z.number().optional(),
    /** See `SlotRequest`; entries of earlier versions send none. */
    precedence: z.number().default(0),
    /** The sender has no share of the server and needs one of the owner; entries of earlier versions send none. */
    requiresGrant: z.boolean().optional(),
});

const reservationReplySchema = z.object({
    kind: z.literal("reserved"),
    id: z.number(),
    isGranted: z.boolean(),
    load: serverLoadSchema,
    /** Time for which the refused sender doesn't use the server, in milliseconds. */
    pauseMs: z.number().nonnegative(),
});

/** Tells the owner of a server that a request which it granted leaves the server. */
const slotReleaseSchema = z.object({
    kind: z.literal("release"),
    name: z.string(),
    failureDomain: z.string(),
    serverId: z.string(),
    /** Load that the request put on the server. */
    load: serverLoadSchema,
});

/** Tells the other entries that a server crashed, and which prompts that implicates; see `ServerCrash`. */
const crashNotificationSchema = z.object({
    kind: z.literal("crash"),
    /** Address of the sender. */
    ip: z.string(),
    serverId: z.string(),
    /** Start time of the server, in Unix milliseconds. */
    startedAt: z.number(),
    ageMs: z.number().nonnegative(),
    weightsVersion: z.number(),
    prompts: z.array(z.object({ id: z.number(), parts: z.array(z.string()) })),
    /** Whether another message with further parts of the same crash follows. Entries of earlier versions send none. */
    isContinued: z.boolean().optional(),
});

/** Tells other entries that requests with implicated parts of prompts survived; see `SurvivalReport`. */
const survivalNotificationSchema = z.object({
    kind: z.literal("survivals"),
    survivals: z.array(z.object({ part: z.string(), ageMs: z.number().nonnegative() })),
});

const peerMessageSchema = z.discriminatedUnion("kind", [
    entryHeartbeatSchema,
    domainDigestSchema,
    agentHeartbeatSchema,
    weightsNotificationSchema,
    reservationRequestSchema,
    reservationReplySchema,
    slotReleaseSchema,
    crashNotificationSchema,
    survivalNotificationSchema,
]);

export type EntryHeartbeat = Readonly<z.infer<typeof entryHeartbeatSchema>>;
export type DomainDigest = Readonly<z.infer<typeof domainDigestSchema>>;
export type AgentHeartbeat = Readonly<z.infer<typeof agentHeartbeatSchema>>;
export type WeightsNotification = Readonly<z.infer<typeof weightsNotificationSchema>>;
export type ReservationRequest = Readonly<z.infer<typeof reservationRequestSchema>>;
export type ReservationReply = Readonly<z.infer<typeof reservationReplySchema>>;
export type SlotRelease = Readonly<z.infer<typeof slotReleaseSchema>>;
export type CrashNotification = Readonly<z.infer<typeof crashNotificationSchema>>;
export type SurvivalNotification = Readonly<z.infer<typeof survivalNotificationSchema>>;
export type PeerMessage =
    | EntryHeartbeat
    | DomainDigest
    | AgentHeartbeat
    | WeightsNotification
    | ReservationRequest
    | ReservationReply
    | SlotRelease
    | CrashNotification
    | SurvivalNotification;

export interface PeerSocket {
    /** Sends the message to each IP address, at the entries' port by default. Losses aren't reported. */
    send(message: PeerMessage, ips: readonly string[], port?: number): void;
    close(): void;
}

/** Returns the port of the agents. It differs from the entries' because both may run on the same VM. */
export function agentPortOf(entryPort: number): number {
    return entryPort + 1;
}

/**
 * Opens a socket that sends and receives messages at `port`. Malformed ones are ignored. All entries use the same
 * `entryPort`.
 */
export function openPeerSocket(
    ip: string,
    port: number,
    entryPort: number,
    onMessage: (message: PeerMessage) => void,
): PeerSocket {
    const socket = createSocket("udp4");
    let isClosed = false;
    socket.on("message", datagram => {
        const message = parsePeerMessage(datagram);
        if (message !== undefined) onMessage(message);
    });
    // Sending to a VM that is down reports an error. Failures are detected by missing heartbeats instead.
    socket.on("error", () => undefined);
    socket.bind(port, ip);
    socket.unref();
    return {
        send: (message, ips, recipientPort = entryPort) => {
            if (isClosed || ips.length === 0) return;
            const datagram = Buffer.from(JSON.stringify(message));
            for (const recipientIp of ips) socket.send(datagram, recipientPort, recipientIp, () => undefined);
        },
        close: () => {
            if (isClosed) return;
            isClosed = true;
            socket.close();
        },
    };
}

function parsePeerMessage(datagram: Buffer): PeerMessage | undefined {
    try {
        const result = peerMessageSchema.safeParse(JSON.parse(datagram.toString()));
        return result.success ? result.data : undefined;
    }
    catch {
        return undefined;
    }
}

const changesSchema = z.object({
    complete: z.boolean(),
    /** `rows` is the whole table, because the receiver's epoch has ended. */
    snapshot: z.boolean().default(false),
    epoch: z.number().default(0),
    revision: z.number().default(0),
    rows: z.array(z.object({
        key: z.string(),
        epoch: z.number().default(0),
        revision: z.number(),
        value: z.string().optional(),
    })),
});

export interface TableChanges extends RowChanges {
    /** Whether the peer has read the whole table once, so that its changes from the start are the whole table. */
    readonly isComplete: boolean;
}

/** A peer responds from memory, but a link between regions may delay its response. */
const CHANGES_TIMEOUT_MS = 1000;

/** Each read uses a connection of its own: reads are rare, and an idle connection may have fallen silent. */
const changesConnections = new http.Agent({ keepAlive: false });

/** Many round trips between regions. */
export const PEER_CONNECT_TIMEOUT_MS = 250;

const CHANGES_PATH = "/changes";

/**
 * Reads a table's changes after a position from a peer. Throws if it can't be reached or its response is invalid.
 * `retained` is the newest position among the rows that the caller retains from before a restoration of the store.
 */
export async function fetchPeerChanges(
    ip: string,
    port: number,
    table: string,
    after: StorePosition,
    retained = INITIAL_POSITION,
): Promise<TableChanges> {
    const query = new URLSearchParams({
        table,
        epoch: String(after.epoch),
        after: String(after.revision),
        "retained-epoch": String(retained.epoch),
        "retained-after": String(retained.revision),
    });
    const response = await sendRequest({
        method: "GET",
        url: `http://${ip}:${port}${CHANGES_PATH}?${query}`,
        timeoutMs: CHANGES_TIMEOUT_MS,
        connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
        agent: changesConnections,
        compressed: true,
    });
    const { complete, snapshot, epoch, revision, rows } = changesSchema.parse(JSON.parse(response.body.toString()));
    return {
        isComplete: complete,
        isSnapshot: snapshot,
        position: { epoch, revision },
        rows: rows.map(row => ({ ...row, value: row.value })),
    };
}

/** Handles a request for table changes; returns false for any other path. */
export function handleChangesRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    replicas: ReadonlyMap<string, RowReplica>,
): boolean {
    const target = request.url ?? "/";
    // The targets of other programs, such as `//`, need not form a URL.
    if (!URL.canParse(target, "http://peer")) return false;
    const url = new URL(target, "http://peer");
    if (url.pathname !== CHANGES_PATH) return false;
    const replica = replicas.get(url.searchParams.get("table") ?? "");
    const numberParameter = (name: string) => Number(url.searchParams.get(name));
    // Entries of earlier versions name no epoch, and don't learn of deletions from a whole table.
    const epoch = url.searchParams.has("epoch") ? numberParameter("epoch") : replica?.newestPosition().epoch ?? 0;
    const changes = replica?.changesSince(
        { epoch, revision: numberParameter("after") },
        { epoch: numberParameter("retained-epoch"), revision: numberParameter("retained-after") },
    );
    const body = JSON.stringify({
        complete: replica?.hasSnapshot() ?? false,
        snapshot: changes?.isSnapshot,
        ...changes?.position,
        rows: changes?.rows ?? [],
    });
    gzip(body, (error, compressed) => {
        if (error === null) {
            response.writeHead(200, { "content-type": "application/json", "content-encoding": "gzip" }).end(compressed);
        }
        else response.writeHead(500).end(error.message);
    });
    return true;
}
