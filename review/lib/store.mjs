/** Stand-in of the platform's metadata store, in the table form. */
import * as http from "node:http";

const MAX_PAGE_ROWS = 500;
const CALL_MS = 4;

/** Starts a store. `put` and `remove` write as the operator and the runners do, and return the acknowledged version. */
export async function startStore(context) {
    let version = 0;
    /** Newest change of each row, by table, part and key. */
    const rows = new Map();
    const waiting = new Set();

    const idOf = (table, part, key) => JSON.stringify([table, part, key]);

    function commit(changes) {
        version++;
        for (const { table, part = "", key, value } of changes) {
            const id = idOf(table, part, key);
            rows.delete(id);
            rows.set(id, { table, part, key, value, ver: version });
        }
        for (const wake of [...waiting]) wake();
        return version;
    }

    const toWire = ({ table, part, key, value, ver }) =>
        value === undefined ? { table, part, key, ver, tombstone: true } : { table, part, key, value, ver };
    const encode = value => Buffer.from(typeof value === "string" ? value : JSON.stringify(value)).toString("base64");
    const nowMs = () => Math.floor(performance.now());

    async function readFeed(parameters) {
        const table = parameters.get("table");
        const after = Number(parameters.get("after"));
        const waitMs = Math.min(30_000, Number(parameters.get("wait-ms")));
        if (after > version) return [410, {}];
        const changed = () => [...rows.values()].filter(row => row.table === table && row.ver > after);
        const deadline = performance.now() + waitMs;
        while (changed().length === 0 && performance.now() < deadline) {
            await new Promise(resolve => {
                const finish = () => {
                    clearTimeout(timer);
                    waiting.delete(finish);
                    resolve();
                };
                const timer = setTimeout(finish, deadline - performance.now());
                waiting.add(finish);
            });
        }
        return [200, { rows: changed().map(toWire), ver: version, "now-ms": nowMs() }];
    }

    function readRows(parameters) {
        const [table, part, from, to] = ["table", "part", "from", "to"].map(name => parameters.get(name) ?? "");
        const limit = Math.min(MAX_PAGE_ROWS, Number(parameters.get("limit") ?? MAX_PAGE_ROWS));
        const matching = [...rows.values()]
            .filter(row => row.table === table && row.part === part && row.value !== undefined)
            .filter(({ key }) => key >= from && (to === "" || key < to))
            .sort((a, b) => a.key < b.key ? -1 : 1);
        return [200, {
            rows: matching.slice(0, limit).map(toWire),
            "has-more": matching.length > limit,
            ver: version,
            "now-ms": nowMs(),
        }];
    }

    function transact(body) {
        const { precondition = [], puts = [], remove = [] } = JSON.parse(body);
        if ([...puts, ...remove].some(({ table }) => table === "op" || table === "servers")) return [403, {}];
        const current = precondition.map(({ table, part = "", key }) => rows.get(idOf(table, part, key)));
        const verOf = row => row === undefined || row.value === undefined ? 0 : row.ver;
        if (precondition.some(({ ver }, index) => verOf(current[index]) !== ver)) {
            return [412, { rows: current.filter(row => row !== undefined).map(toWire), ver: version }];
        }
        const newVersion = commit([...puts, ...remove.map(row => ({ ...row, value: undefined }))]);
        return [200, { ver: newVersion, "now-ms": nowMs() }];
    }

    async function handle(request) {
        const url = new URL(request.url, "http://store");
        const chunks = [];
        for await (const chunk of request) chunks.push(chunk);
        await new Promise(resolve => setTimeout(resolve, CALL_MS));
        if (url.pathname === "/-/rows-feed") return readFeed(url.searchParams);
        if (url.pathname === "/-/rows-get") return readRows(url.searchParams);
        if (url.pathname === "/-/rows-tx") return transact(Buffer.concat(chunks).toString());
        return [404, {}];
    }

    const server = http.createServer((request, response) => {
        handle(request).then(([status, body]) => {
            response.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(body));
        }, () => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    context.onEnd(() => {
        server.close();
        server.closeAllConnections();
        for (const wake of [...waiting]) wake();
    });
    return {
        address: `127.0.0.1:${server.address().port}`,
        put: (table, key, value) => commit([{ table, key, value: encode(value) }]),
        remove: (table, key) => commit([{ table, key, value: undefined }]),
        keys: table => [...rows.values()].filter(row => row.table === table && row.value !== undefined)
            .map(({ key }) => key),
    };
}
