/** Fake of the platform's metadata store for tests: rows with revisions, a change feed and switchable faults. */
import * as http from "node:http";
import type { AddressInfo } from "node:net";

/**
 * How the store fails calls: `busy` responds with 503, `silent` never responds, `reset` resets the connection.
 */
export type StoreFault = "none" | "busy" | "silent" | "reset";

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
    /** Smallest revision from which a feed can continue. */
    let oldestRevision = 0;
    let fault: StoreFault = "none";
    const rows = new Map<string, Change>();
    const waitingFeeds = new Set<() => void>();
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
        if (afterRevision < oldestRevision) return [410, {}];
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
                .filter(({ key }) => key >= from && (to === null || key < to));
            return [200, { rows: matchingRows.map(toWireRow), "has-more": false, ver: revision, "now-ms": Date.now() }];
        }
        const chunks: Buffer[] = [];
        for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
        const { puts } = JSON.parse(Buffer.concat(chunks).toString()) as {
            puts: { table: string; key: string; value: string; }[];
        };
        for (const put of puts) write(put.table, put.key, Buffer.from(put.value, "base64").toString());
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
        void handleCall(request).then(([status, body]) => {
            // Calls that were waiting when a fault was set get no response either.
            if (fault === "none") {
                response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
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
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
