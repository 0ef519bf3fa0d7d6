/** A fake of the platform's metadata store for tests: rows with revisions, a change feed and switchable faults. */
import * as http from "node:http";
import type { AddressInfo } from "node:net";

export type StoreFault = "none" | "busy" | "silent" | "reset";

export interface StandInStore {
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
    readonly ver: number;
    readonly value: string | undefined;
}

export async function startStandInStore(): Promise<StandInStore> {
    let ver = 0;
    let oldest = 0;
    let fault: StoreFault = "none";
    const rows = new Map<string, Change>();
    const waitingFeeds = new Set<() => void>();
    const calls = new Map<string, number>();

    function write(table: string, key: string, value: string | undefined): void {
        ver++;
        rows.delete(`${table} ${key}`);
        rows.set(`${table} ${key}`, { table, key, ver, value });
        for (const wake of waitingFeeds) wake();
    }

    const rowOf = ({ table, key, ver: revision, value }: Change) => ({
        table,
        part: "",
        key,
        ver: revision,
        ...value === undefined ? { tombstone: true } : { value: Buffer.from(value).toString("base64") },
    });

    async function feed(table: string, after: number, waitMs: number): Promise<[number, object]> {
        const changed = () => [...rows.values()].filter(row => row.table === table && row.ver > after);
        if (after < oldest) return [410, {}];
        if (changed().length === 0) {
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
        return [200, { rows: changed().map(rowOf), ver, "now-ms": Date.now() }];
    }

    async function handleCall(request: http.IncomingMessage): Promise<[number, object]> {
        const url = new URL(request.url ?? "/", "http://store");
        const table = url.searchParams.get("table") ?? "";
        const call = `${url.pathname} ${table}`;
        calls.set(call, (calls.get(call) ?? 0) + 1);
        if (url.pathname === "/-/rows-feed") {
            return feed(table, Number(url.searchParams.get("after")), Number(url.searchParams.get("wait-ms")));
        }
        if (url.pathname === "/-/rows-get") {
            const [from, to] = [url.searchParams.get("from") ?? "", url.searchParams.get("to")];
            const found = [...rows.values()]
                .filter(row => row.table === table && row.value !== undefined)
                .filter(({ key }) => key >= from && (to === null || key < to));
            return [200, { rows: found.map(rowOf), "has-more": false, ver, "now-ms": Date.now() }];
        }
        const chunks: Buffer[] = [];
        for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
        const { puts } = JSON.parse(Buffer.concat(chunks).toString()) as {
            puts: { table: string; key: string; value: string; }[];
        };
        for (const put of puts) write(put.table, put.key, Buffer.from(put.value, "base64").toString());
        return [200, { ver, "now-ms": Date.now() }];
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
            return ver;
        },
        remove: (table, key) => write(table, key, undefined),
        compact: () => {
            oldest = ver + 1;
            ver++;
            for (const wake of waitingFeeds) wake();
        },
        setFault: next => {
            fault = next;
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
