/** A small stand-in of the platform's metadata store: rows with revisions, a feed and switchable troubles. */
import * as http from "node:http";
import type { AddressInfo } from "node:net";

export type StoreTrouble = "none" | "busy" | "silent" | "reset";

export interface StandInStore {
    readonly address: string;
    /** Number of calls so far, by path and table. */
    readonly calls: Map<string, number>;
    /** Writes a row as the operator or a runner does. */
    put(table: string, key: string, value: unknown): number;
    remove(table: string, key: string): void;
    /** Drops the history, so that feeds have to read their tables again. */
    compact(): void;
    setTrouble(trouble: StoreTrouble): void;
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
    let trouble: StoreTrouble = "none";
    const rows = new Map<string, Change>();
    const waiting = new Set<() => void>();
    const calls = new Map<string, number>();

    function write(table: string, key: string, value: string | undefined): void {
        ver++;
        rows.delete(`${table} ${key}`);
        rows.set(`${table} ${key}`, { table, key, ver, value });
        for (const wake of waiting) wake();
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
                const done = () => {
                    clearTimeout(timer);
                    waiting.delete(done);
                    resolve();
                };
                const timer = setTimeout(done, waitMs);
                waiting.add(done);
            });
        }
        return [200, { rows: changed().map(rowOf), ver, "now-ms": Date.now() }];
    }

    async function answer(request: http.IncomingMessage): Promise<[number, object]> {
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
        const pieces: Buffer[] = [];
        for await (const piece of request as AsyncIterable<Buffer>) pieces.push(piece);
        const { puts } = JSON.parse(Buffer.concat(pieces).toString()) as {
            puts: { table: string; key: string; value: string; }[];
        };
        for (const put of puts) write(put.table, put.key, Buffer.from(put.value, "base64").toString());
        return [200, { ver, "now-ms": Date.now() }];
    }

    const server = http.createServer((request, response) => {
        if (trouble === "silent") return;
        if (trouble === "reset") {
            request.socket.resetAndDestroy();
            return;
        }
        if (trouble === "busy") {
            response.writeHead(503).end();
            return;
        }
        void answer(request).then(([status, body]) => {
            // A call that waited when the trouble began gets no answer either.
            if (trouble === "none") {
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
            for (const wake of waiting) wake();
        },
        setTrouble: next => {
            trouble = next;
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
