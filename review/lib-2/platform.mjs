/**
 * Stand-ins for the cases of this review: the platform's metadata store, its settings file and its start of programs.
 * They speak what the users' pages say. Every address is a loopback address.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

const MAX_PAGE_ROWS = 500;

/** Starts the store: tables of rows, transactions and the change feed. */
export async function startStore(ip = "127.0.0.1") {
    let revision = 0;
    const rows = new Map();
    const waiting = new Set();

    function write(table, key, value) {
        revision++;
        rows.delete(`${table} ${key}`);
        rows.set(`${table} ${key}`, { table, key, revision, value });
        for (const wake of [...waiting]) wake();
        return revision;
    }

    const toWire = ({ table, key, revision: ver, value }) => ({
        table,
        part: "",
        key,
        ver,
        ...value === undefined ? { tombstone: true } : { value: Buffer.from(value).toString("base64") },
    });

    async function handle(request) {
        const url = new URL(request.url, "http://store");
        const table = url.searchParams.get("table") ?? "";
        if (url.pathname === "/-/rows-feed") {
            const after = Number(url.searchParams.get("after"));
            const changed = () => [...rows.values()].filter(row => row.table === table && row.revision > after);
            const deadline = performance.now() + Number(url.searchParams.get("wait-ms"));
            while (changed().length === 0 && performance.now() < deadline) {
                await new Promise(resolve => {
                    const finish = () => {
                        clearTimeout(timer);
                        waiting.delete(finish);
                        resolve();
                    };
                    const timer = setTimeout(finish, Math.max(1, deadline - performance.now()));
                    waiting.add(finish);
                });
            }
            return { rows: changed().map(toWire), ver: revision, "now-ms": Math.round(performance.now()) };
        }
        if (url.pathname === "/-/rows-get") {
            const [from, to] = [url.searchParams.get("from") ?? "", url.searchParams.get("to")];
            const matching = [...rows.values()]
                .filter(row => row.table === table && row.value !== undefined)
                .filter(({ key }) => key >= from && (to === null || key < to))
                .sort((a, b) => a.key < b.key ? -1 : 1);
            const page = matching.slice(0, Number(url.searchParams.get("limit") ?? MAX_PAGE_ROWS));
            return {
                rows: page.map(toWire),
                "has-more": page.length < matching.length,
                ver: revision,
                "now-ms": Math.round(performance.now()),
            };
        }
        const chunks = [];
        for await (const chunk of request) chunks.push(chunk);
        const { puts = [], remove = [] } = JSON.parse(Buffer.concat(chunks).toString());
        for (const { table: name, key, value } of puts) write(name, key, Buffer.from(value, "base64").toString());
        for (const { table: name, key } of remove) write(name, key, undefined);
        return { ver: revision, "now-ms": Math.round(performance.now()) };
    }

    const server = http.createServer((request, response) => {
        handle(request).then(
            body => response.writeHead(200, { "content-type": "application/json", "store-era": "1" })
                .end(JSON.stringify(body)),
            () => response.destroy(),
        );
    });
    const port = await listen(server, ip);
    return {
        address: `${ip}:${port}`,
        put: (table, key, value) => write(table, key, typeof value === "string" ? value : JSON.stringify(value)),
        remove: (table, key) => write(table, key, undefined),
        has: (table, key) => rows.get(`${table} ${key}`)?.value !== undefined,
        close: () => {
            server.close();
            server.closeAllConnections();
            for (const wake of [...waiting]) wake();
        },
    };
}

export function listen(server, ip) {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, ip, () => resolve(server.address().port));
    });
}

/** Returns the first of `count` successive free ports at the addresses. */
export async function findFreePorts(count, ...ips) {
    for (let attempt = 0; attempt < 50; attempt++) {
        const first = 20_000 + Math.floor(Math.random() * 10_000);
        const isFree = await Promise.all(
            ips.flatMap(ip => Array.from({ length: count }, (_, index) => canListen(ip, first + index))),
        );
        if (isFree.every(Boolean)) return first;
    }
    throw new Error("no free ports");
}

function canListen(ip, port) {
    return new Promise(resolve => {
        const server = createTcpServer();
        server.once("error", () => resolve(false));
        server.listen(port, ip, () => server.close(() => resolve(true)));
    });
}

export function createDirectory() {
    const directory = mkdtempSync(join(tmpdir(), "endivewell-review-"));
    return { path: directory, remove: () => rmSync(directory, { recursive: true, force: true }) };
}

/** Starts a role with the command of the deploy file. `settings` is the text of its settings file. */
export function startRole(role, settings, { directory, name, onExit = () => undefined }) {
    const deploy = readFileSync("deploy/system.toml", "utf8");
    const command = new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]+)"`).exec(deploy)?.[1];
    if (command === undefined) throw new Error(`no command for ${role}`);
    const file = join(directory, `${name}.toml`);
    writeFileSync(file, settings);
    const [program, ...args] = command.split(" ");
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
        env: { PATH, HOME, LANG, ENDIVEWELL_SETTINGS: file },
        stdio: ["ignore", "pipe", "pipe"],
    });
    const log = [];
    child.stdout.on("data", text => log.push(String(text)));
    child.stderr.on("data", text => log.push(String(text)));
    child.once("exit", (code, signal) => onExit(code, signal));
    return { child, log, name, text: () => log.join("") };
}

/** Settings of a machine, as the platform's page shows them, with the bounds of a small deployment. */
export function settingsText({ node, ip, zone, region, zones, ports, seeds, storeAddress, listen: addresses = {}, app, service, memoryMb, linkMbps, extraBounds = "" }) {
    const lines = object => Object.entries(object).map(([key, value]) => `${key} = ${JSON.stringify(value)}\n`).join("");
    return `node = "${node}"\nrole = "role"\nip = "${ip}"\nzone = "${zone}"\nregion = "${region}"\n` +
        `internal-ports = [${ports[0]}, ${ports[1]}]\nseeds = ${JSON.stringify(seeds)}\nfirst-start = true\n` +
        "discovery = \"platform\"\nentry = \"vip\"\nheartbeat-ms = 1200\n" +
        (app === undefined ? "" : `app = "${app}"\nservice = "${service}"\n`) +
        `[zones]\n${lines(zones)}[listen]\n${lines(addresses)}` +
        `[limits]\ncpu-share = 0.81\ncores = 1\nmemory-mb = ${memoryMb}\nmax-fds = 1494\nlink-mbps = ${linkMbps}\n` +
        "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\nstability-window-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\n" +
        "drain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\n" +
        "outer-ms = 5000\nstrict-revoke = false\nrevoke-ms = 5000\nretry-budget-ratio = 0.2\nbudget-window-s = 10\n" +
        `retry-budget-slack = 104\nrecovery-s = 12\npass-ms = 120\nversion_ms = 8000\nversion_all_ms = 0\n${extraBounds}` +
        `[platform]\naddress = "${storeAddress}"\nform = "table"\nwrites-per-s = 400\nreads-per-s = 2000\n`;
}

/** Returns the memory of a process in MB: private anonymous memory now, and the resident set now and at its peak. */
export function readMemory(pid) {
    try {
        const status = readFileSync(`/proc/${pid}/status`, "utf8");
        const field = name => Number(new RegExp(`^${name}:\\s+(\\d+) kB`, "m").exec(status)?.[1] ?? 0) / 1024;
        return { anonymousMb: field("RssAnon"), residentMb: field("VmRSS"), peakMb: field("VmHWM") };
    }
    catch {
        return undefined;
    }
}

/** Writes what was sent, answered and run. */
export function createRecord(file) {
    writeFileSync(file, "");
    const startedAt = performance.now();
    return text => {
        const line = `${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}\n`;
        appendFileSync(file, line);
    };
}

export function engineParameters(model, chunks, chunkBytes) {
    return {
        slots: 16,
        stride: 6,
        step_ms: 7.4,
        per_seq_ms: 0.1,
        context_per_k: 0.1,
        read_per_s: 31_900,
        pairs_per_m: 0.1,
        usual: { prompt: 900, answer: 100 },
        layers: 16,
        models: [{ name: model }],
        chunks,
        "chunk-bytes": chunkBytes,
    };
}

export const LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 4_194_304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15_000,
};
