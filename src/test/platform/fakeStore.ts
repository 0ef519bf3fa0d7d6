/**
 * Fake of the platform's metadata store for tests: rows with revisions, a change feed, switchable faults and restoration
 * from a copy.
 */
import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** The store's limit of rows per response. */
const MAX_PAGE_ROWS = 500;

/**
 * How the store fails calls: `busy` responds with 503, `silent` never responds, `reset` resets the connection.
 */
export type StoreFault = "none" | "busy" | "silent" | "reset";

/** State of the store at one moment. */
export interface StoreCopy {
    readonly revision: number;
    /** Smallest revision from which a feed can continue. */
    readonly oldestRevision: number;
    readonly rows: ReadonlyMap<string, Change>;
}

export interface FakeStore {
    readonly address: string;
    /** Number of calls so far, by path and table separated by a space. */
    readonly calls: Map<string, number>;
    /** Writes a row and returns its revision; values other than strings are stored as JSON. */
    put(table: string, key: string, value: unknown): number;
    remove(table: string, key: string): void;
    /** Drops the change history, so that clients of a feed must read their tables again. */
    compact(): void;
    setFault(fault: StoreFault): void;
    copy(): StoreCopy;
    /**
     * Replaces the content by a copy, as in a restoration: later writes are lost, their revisions are given out again,
     * and the era rises. Feed calls that are waiting are cut off.
     */
    restore(copy: StoreCopy): void;
    /** Returns the keys of a table's rows. */
    keys(table: string): string[];
    close(): void;
}

interface Change {
    readonly table: string;
    readonly key: string;
    readonly revision: number;
    readonly value: string | undefined;
}

export async function startFakeStore(): Promise<FakeStore> {
    let revision = 0;
    let oldestRevision = 0;
    let fault: StoreFault = "none";
    let era = 0;
    let rows = new Map<string, Change>();
    const waitingFeeds = new Set<() => void>();
    /** Connections of the calls in progress. */
    const busySockets = new Set<Socket>();
    const calls = new Map<string, number>();

    function write(table: string, key: string, value: string | undefined): void {
        revision++;
        rows.delete(`${table} ${key}`);
        rows.set(`${table} ${key}`, { table, key, revision, value });
        for (const wake of waitingFeeds) wake();
    }

    const toWireRow = ({ table, key, revision, value }: Change) => ({
        table,
        part: "",
        key,
        ver: revision,
        ...value === undefined ? { tombstone: true } : { value: Buffer.from(value).toString("base64") },
    });

    async function readFeed(table: string, afterRevision: number, waitMs: number): Promise<[number, object]> {
        const changedRows = () => [...rows.values()].filter(row => row.table === table && row.revision > afterRevision);
        if (afterRevision < oldestRevision || afterRevision > revision) return [410, {}];
        if (changedRows().length === 0) {
            await new Promise<void>(resolve => {
                const finish = () => {
                    clearTimeout(timer);
                    waitingFeeds.delete(finish);
                    resolve();
                };
                const timer = setTimeout(finish, waitMs);
                waitingFeeds.add(finish);
            });
        }
        return [200, { rows: changedRows().map(toWireRow), ver: revision, "now-ms": Date.now() }];
    }

    async function handleCall(request: http.IncomingMessage): Promise<[number, object]> {
        const url = new URL(request.url ?? "/", "http://store");
        const table = url.searchParams.get("table") ?? "";
        const callName = `${url.pathname} ${table}`;
        calls.set(callName, (calls.get(callName) ?? 0) + 1);
        if (url.pathname === "/-/rows-feed") {
            return readFeed(table, Number(url.searchParams.get("after")), Number(url.searchParams.get("wait-ms")));
        }
        if (url.pathname === "/-/rows-get") {
            const [from, to] = [url.searchParams.get("from") ?? "", url.searchParams.get("to")];
            const matchingRows = [...rows.values()]
                .filter(row => row.table === table && row.value !== undefined)
                .filter(({ key }) => key >= from && (to === null || key < to))
                .toSorted((a, b) => a.key < b.key ? -1 : 1);
            const page = matchingRows.slice(0, Number(url.searchParams.get("limit") ?? MAX_PAGE_ROWS));
            const hasMore = page.length < matchingRows.length;
            return [200, { rows: page.map(toWireRow), "has-more": hasMore, ver: revision, "now-ms": Date.now() }];
        }
        const chunks: Buffer[] = [];
        for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
        const { precondition, puts, remove } = JSON.parse(Buffer.concat(chunks).toString()) as {
            precondition: { table: string; key: string; ver: number; }[];
            puts: { table: string; key: string; value: string; }[];
            remove: { table: string; key: string; }[];
        };
        const revisionOf = (table: string, key: string) => {
            const row = rows.get(`${table} ${key}`);
            return row?.value === undefined ? 0 : row.revision;
        };
        if (precondition.some(({ table, key, ver }) => revisionOf(table, key) !== ver)) return [412, { ver: revision }];
        for (const put of puts) write(put.table, put.key, Buffer.from(put.value, "base64").toString());
        for (const { table, key } of remove) write(table, key, undefined);
        return [200, { ver: revision, "now-ms": Date.now() }];
    }

    const server = http.createServer((request, response) => {
        if (fault === "silent") return;
        if (fault === "reset") {
            request.socket.resetAndDestroy();
            return;
        }
        if (fault === "busy") {
            response.writeHead(503).end();
            return;
        }
        const { socket } = request;
        busySockets.add(socket);
        void handleCall(request).then(([status, body]) => {
            busySockets.delete(socket);
            // Calls that were waiting when a fault was set get no response either.
            if (fault === "none" && !socket.destroyed) {
                response
                    .writeHead(status, { "content-type": "application/json", "store-era": era })
                    .end(JSON.stringify(body));
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        calls,
        put: (table, key, value) => {
            write(table, key, typeof value === "string" ? value : JSON.stringify(value));
            return revision;
        },
        remove: (table, key) => write(table, key, undefined),
        compact: () => {
            oldestRevision = revision + 1;
            revision++;
            for (const wake of waitingFeeds) wake();
        },
        setFault: newFault => {
            fault = newFault;
        },
        copy: () => ({ revision, oldestRevision, rows: new Map(rows) }),
        restore: copy => {
            era++;
            ({ revision, oldestRevision } = copy);
            rows = new Map(copy.rows);
            for (const socket of busySockets) socket.destroy();
            busySockets.clear();
            for (const wake of waitingFeeds) wake();
        },
        keys: table =>
            [...rows.values()].flatMap(row => row.table === table && row.value !== undefined ? [row.key] : []),
        close: () => {
            server.close();
            server.closeAllConnections();
            // Their timers would keep the process alive.
            for (const wake of waitingFeeds) wake();
        },
    };
}
