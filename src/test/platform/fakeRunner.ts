/**
 * Fake of a runner, whose responses tests write as raw bytes, and builders for the store rows that the operator
 * and the runners write.
 */
import { type AddressInfo, createServer, type Socket } from "node:net";

export interface ReceivedRequest {
    readonly head: string;
    readonly body: string;
    readonly socket: Socket;
    readonly attemptId: string;
    /** Time of `performance.now` at which the request was complete. */
    readonly receivedAt: number;
    /** Returns the value of a header; empty if it is missing. */
    header(name: string): string;
}

export interface FakeRunner {
    readonly address: string;
    readonly requests: ReceivedRequest[];
    /** Returns the number of connections that have closed. */
    closedCount(): number;
    /** Returns the number of connections that the entry has reset. */
    resetCount(): number;
    /** Resets all connections and refuses new ones, as a process that ends by itself. */
    crash(): void;
    close(): void;
}

export async function startFakeRunner(respond: (request: ReceivedRequest) => void): Promise<FakeRunner> {
    const requests: ReceivedRequest[] = [];
    const sockets = new Set<Socket>();
    let closedCount = 0;
    let resetCount = 0;
    const server = createServer(socket => {
        sockets.add(socket);
        let pending = "";
        socket.on("error", error => {
            if ((error as NodeJS.ErrnoException).code === "ECONNRESET") resetCount++;
        });
        socket.on("close", () => {
            closedCount++;
            sockets.delete(socket);
        });
        socket.on("data", data => {
            pending += data.toString("latin1");
            for (;;) {
                const headEnd = pending.indexOf("\r\n\r\n");
                if (headEnd < 0) return;
                const head = pending.slice(0, headEnd);
                const header = (name: string) => new RegExp(`^${name}: ?(.*)$`, "im").exec(head)?.[1]?.trim() ?? "";
                const bodyLength = Number(header("content-length") || "0");
                if (pending.length < headEnd + 4 + bodyLength) return;
                const body = pending.slice(headEnd + 4, headEnd + 4 + bodyLength);
                pending = pending.slice(headEnd + 4 + bodyLength);
                const receivedAt = performance.now();
                const request = { head, body, socket, attemptId: header("attempt-id"), receivedAt, header };
                requests.push(request);
                respond(request);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        requests,
        closedCount: () => closedCount,
        resetCount: () => resetCount,
        crash: () => {
            server.close();
            for (const socket of sockets) socket.resetAndDestroy();
        },
        close: () => {
            server.close();
            for (const socket of sockets) socket.destroy();
        },
    };
}

/** Returns a complete response with a signature. */
export function completeResponse(request: ReceivedRequest, body: string, status = "200 OK", extraHeaders = ""): string {
    return `HTTP/1.1 ${status}\r\nAttempt-Id: ${request.attemptId}\r\nResponse-Seal: seal\r\n${extraHeaders}` +
        `Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Returns a refusal which states that the request didn't run. */
export function notRunResponse(extraHeaders = ""): string {
    return `HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n${extraHeaders}Content-Length: 0\r\n\r\n`;
}

export function streamResponseHead(request: ReceivedRequest, extraHeaders = ""): string {
    return `HTTP/1.1 200 OK\r\nAttempt-Id: ${request.attemptId}\r\nResponse-Seal: seal of ${
        request.header("expect-instance")
    }\r\n${extraHeaders}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

/** What a runner says about itself in its responses; tests change it while the runner serves. */
export interface RunnerNotices {
    isLeaving: boolean;
    /** The runner turns requests away and asks for a pause of this length; `undefined` if it serves. */
    retryAfterSeconds: number | undefined;
}

/** Returns the headers that a runner with these notices adds to each response. */
export function noticeHeaders({ isLeaving, retryAfterSeconds }: RunnerNotices): string {
    return (isLeaving ? "Server-Leaving: 1\r\n" : "") +
        (retryAfterSeconds === undefined ? "" : `Retry-After: ${retryAfterSeconds}\r\n`);
}

/** Responds to a request as a runner with these notices does. */
export function respondWithNotices(request: ReceivedRequest, notices: RunnerNotices): void {
    const headers = noticeHeaders(notices);
    request.socket.write(
        notices.retryAfterSeconds === undefined ?
            completeResponse(request, "ok", "200 OK", headers) :
            notRunResponse(headers),
    );
}

/** Encodes text as one chunk of a chunked body. */
export function encodeChunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

export function numberedEvents(first: number, last: number): string {
    let text = "";
    for (let id = first; id <= last; id++) text += `id: ${id}\ndata: word${id}\n\n`;
    return text;
}

/** A stream whose server is silent for a while and goes on. */
export interface SilentStream {
    readonly eventCount: number;
    readonly intervalMs: number;
    /** The server is silent after the event with this id; 0 for a silence before the response headers. */
    readonly silentAfter: number;
    readonly silenceMs: number;
}

/** Responds with numbered events, starting after the request's Last-Event-Id. */
export function respondWithSilence(request: ReceivedRequest, stream: SilentStream): void {
    const { eventCount, intervalMs, silentAfter, silenceMs } = stream;
    const { socket } = request;
    let id = Number(request.header("last-event-id") || "0");
    let hasHead = false;
    const sendNext = () => {
        if (socket.destroyed) return;
        if (!hasHead) socket.write(streamResponseHead(request));
        hasHead = true;
        if (id === eventCount) {
            socket.write("0\r\n\r\n");
            return;
        }
        id++;
        socket.write(encodeChunk(numberedEvents(id, id)));
        setTimeout(sendNext, id === silentAfter ? silenceMs : intervalMs);
    };
    setTimeout(sendNext, silentAfter === 0 ? silenceMs : 0);
}

export function serverRow(address: string, changes: object = {}): object {
    return {
        service: "plain",
        address,
        zone: "a",
        version: "v1",
        slots: 8,
        state: "ready",
        "cold-remaining-ms": 0,
        born: 1,
        sequence: 1,
        ...changes,
    };
}

/** Returns the fields of a server row that say that the server holds version 1 of a model. */
export function loadedWeights(model: string): object {
    return { models: [{ name: model, version: 1, adapters: [] }], layers: { from: 0, to: 4, version: 1 } };
}

/** Returns engine parameters of a service whose weights have `chunks` pieces of `chunkBytes` bytes each. */
export function engineParameters(model: string, chunks: number, chunkBytes: number): object {
    return {
        slots: 4,
        step_ms: 1,
        per_seq_ms: 0,
        context_per_k: 0,
        read_per_s: 1000,
        pairs_per_m: 0,
        usual: { prompt: 1, answer: 1 },
        layers: 4,
        models: [{ name: model }],
        chunks,
        "chunk-bytes": chunkBytes,
    };
}

const BASE_ROUTE = {
    host: "site.example",
    "timeout-ms": 3000,
    "target-latency-ms": 300,
    priority: 0,
    service: "plain",
    public: false,
    sticky: false,
    resumable: false,
};

/** Returns a configuration with a route of each request kind and a public route, all to the service `plain`. */
export function configurationRow(version: number, changes: object = {}): object {
    return {
        version,
        routes: [
            { ...BASE_ROUTE, name: "read", prefix: "/read/", kind: "idempotent", "max-attempts": 2 },
            { ...BASE_ROUTE, name: "book", prefix: "/book/", kind: "non_idempotent", "max-attempts": 1 },
            {
                ...BASE_ROUTE,
                name: "talk",
                prefix: "/talk/",
                kind: "streaming",
                "max-attempts": 2,
                resumable: true,
                "target-gap-ms": 100,
            },
            { ...BASE_ROUTE, name: "open", prefix: "/open/", kind: "idempotent", "max-attempts": 2, public: true },
        ],
        services: [{ name: "plain", "health-path": "/healthz", "max-connections": 100, protocol: "h1", tls: false }],
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 100_000,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
        tenants: [{ name: "tenant-a", "api-keys": ["key-a"] }],
        ...changes,
    };
}
