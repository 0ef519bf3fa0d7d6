/**
 * One run of the fault soak: real entries as separate processes between callers and stand-ins of the store and of
 * backend servers. Faults are drawn from a seed and strike from outside, in series that overlap.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
    completeResponse,
    configurationRow,
    encodeChunk,
    notRunResponse,
    type ReceivedRequest,
    serverRow,
    type StandInRunner,
    startStandInRunner,
    streamResponseHead,
} from "../platform/standInRunner.js";
import { startStandInStore, type StoreFault } from "../platform/standInStore.js";
import { findFreePortRange, sendCall, waitUntil } from "../router/routerHarness.js";
import { type FaultProxy, type LinkTrouble, startFaultProxy } from "./faultProxy.js";
import { bodyOf, type CallKind, createLedger, eventTexts } from "./ledger.js";

export interface SoakOptions {
    readonly seed: number;
    readonly seconds: number;
    readonly entries: number;
    readonly servers: number;
    readonly callers: number;
    /** Receives a line for each fault and each end of a process. */
    readonly log: (line: string) => void;
}

export interface SoakResult {
    readonly violations: readonly string[];
    readonly calls: number;
    readonly answered: number;
    readonly runs: number;
    readonly faults: number;
}

const MAIN = fileURLToPath(new URL("../../main.js", import.meta.url));

/** What was disturbed counts as disturbed for this long, as on the users' pages (`stability-window-ms`). */
const SETTLE_MS = 3000;

/** A configuration is in force everywhere after this time (`config-apply-ms`). */
const CONFIGURATION_MS = 2000;

/** A server that left may get calls for this long (`drain-ms`), and the noise of a busy machine. */
const DRAIN_MS = 2000;
const NOISE_MS = 500;

/** Time until Node runs a program on a busy machine. */
const BOOT_MS = 400;

/** The proxy sees a reset that arrives together with bytes as an orderly end, so the reset follows them later. */
const RESET_AFTER_MS = 50;

/** Registry entries of crashed servers lapse after this time. */
const LAPSE_MS = 1500;

const KINDS: readonly CallKind[] = ["read", "book", "talk"];

/** Path of each kind's route in the stand-in's configuration. */
const PATHS = { read: "/read/x", book: "/book/x", talk: "/talk/x" } as const;

interface EntryProcess {
    readonly name: string;
    readonly ip: string;
    readonly store: FaultProxy;
    child: ChildProcess | undefined;
    startedAt: number;
    disturbedAt: number;
    /** It was told to stop when nothing had disturbed it of late, and nothing has since. */
    isPlannedStop: boolean;
    /** The process was told to end, so its end is none of its own. */
    isEnding: boolean;
}

interface Server {
    readonly id: string;
    readonly runner: StandInRunner;
    readonly link: FaultProxy;
    leftAt: number | undefined;
    isGone: boolean;
}

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const generator = xoroshiro128plus(options.seed);
    const random = () => uniformFloat64(generator);
    const pick = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)] as T;
    const between = (low: number, high: number) => low + random() * (high - low);
    const now = () => performance.now();
    const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));
    const directory = mkdtempSync(join(tmpdir(), "endivewell-soak-"));
    const ledger = createLedger();
    const problems: string[] = [];
    const store = await startStandInStore();
    const port = await findFreePortRange();
    const entries: EntryProcess[] = [];
    const servers: Server[] = [];
    const keys = new Map<string, {
        readonly account: string;
        readonly addedAt: number;
        revokedAt: number | undefined;
    }>();
    let storeDisturbedAt = Number.NEGATIVE_INFINITY;
    /** Last crash of a server or trouble on the way to one, which may cut calls that had begun well. */
    let serverDisturbedAt = Number.NEGATIVE_INFINITY;
    let version = 0;
    let serial = 0;
    let faults = 0;
    let isOver = false;

    function writeConfiguration(): void {
        version += 1 + Math.floor(random() * 3);
        const tenants = [...keys].flatMap(([key, { account, revokedAt }]) =>
            revokedAt === undefined ? [{ name: account, "api-keys": [key] }] : []
        );
        store.put("op", "config", configurationRow(version, { tenants }));
    }

    function addKey(): void {
        serial++;
        keys.set(`key-${serial}`, { account: `account-${serial}`, addedAt: now(), revokedAt: undefined });
    }

    function isStoreSettled(at: number): boolean {
        return at - storeDisturbedAt > SETTLE_MS;
    }

    async function addServer(): Promise<void> {
        serial++;
        const id = `i-${serial}`;
        const runner = await startStandInRunner(request => answer(server, request));
        const link = await startFaultProxy(() => runner.address);
        const server: Server = { id, runner, link, leftAt: undefined, isGone: false };
        servers.push(server);
        putServer(server);
    }

    function putServer({ id, link }: Server, state = "ready"): void {
        const zone = `z${servers.length % 2}`;
        store.put("servers", id, serverRow(link.address, { state, zone, slots: 16, born: 1000 + serial }));
    }

    /** Draws how a server treats a call: mostly soundly, else in one of the ways that the users' pages name. */
    function answer(server: Server, request: ReceivedRequest): void {
        const { socket, attemptId: id } = request;
        if (request.header("expect-instance") !== server.id) {
            socket.write("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        const luck = random();
        if (luck < 0.04) {
            socket.write(notRunResponse());
            return;
        }
        const at = now();
        const isSettled = server.leftAt !== undefined && isStoreSettled(server.leftAt) && isStoreSettled(at) &&
            entries.every(entry => at - entryDisturbedAt(entry, at) > SETTLE_MS);
        ledger.ran({
            id,
            account: request.header("tenant"),
            at,
            isTooLate: isSettled && at - (server.leftAt ?? at) > DRAIN_MS + NOISE_MS,
            isDisturbed: at - (server.link.disturbedAt(at) ?? Number.NEGATIVE_INFINITY) < SETTLE_MS,
            isSound: luck >= 0.14 && !server.isGone,
        });
        if (luck < 0.06) {
            socket.resetAndDestroy();
            return;
        }
        if (luck < 0.065) return;
        if (/ \/talk\//.test(request.head)) void answerStream(request, luck);
        else setTimeout(() => answerPlain(request, id, luck), luck * 60);
    }

    function answerPlain(request: ReceivedRequest, id: string, luck: number): void {
        const { socket } = request;
        const body = bodyOf("read", id);
        const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n`;
        if (luck < 0.08) socket.write(completeResponse(request, "failed", "500 Internal Server Error"));
        else if (luck < 0.1) socket.end(`${head}\r\n${body}`);
        else if (luck < 0.11) {
            socket.write(`${head}\r\n${body.slice(0, 5)}`);
            setTimeout(() => socket.resetAndDestroy(), RESET_AFTER_MS);
        }
        else if (luck < 0.12) socket.end(`${head}Content-Length: ${body.length}\r\n\r\n${body.slice(0, 5)}`);
        else socket.write(completeResponse(request, body));
        if (luck > 0.98) setTimeout(() => socket.write(completeResponse(request, "extra")), 10);
    }

    async function answerStream(request: ReceivedRequest, luck: number): Promise<void> {
        const { socket, attemptId: id } = request;
        const texts = eventTexts(id, 1 + Number(request.header("last-event-id") || "0"));
        const breakAt = luck < 0.14 ? Math.floor(texts.length / 2) : -1;
        socket.write(streamResponseHead(request));
        for (const [index, text] of texts.entries()) {
            if (index === breakAt) {
                socket.write(encodeChunk(text.slice(0, 9)), () => socket.resetAndDestroy());
                return;
            }
            socket.write(encodeChunk(text));
            await sleep(8);
        }
        socket.write("0\r\n\r\n");
    }

    function entryDisturbedAt(entry: EntryProcess, at: number): number {
        return Math.max(entry.disturbedAt, entry.store.disturbedAt(at) ?? Number.NEGATIVE_INFINITY);
    }

    function startEntry(entry: EntryProcess): void {
        entry.isEnding = false;
        entry.isPlannedStop = false;
        entry.startedAt = entry.disturbedAt = now();
        const settings = join(directory, `${entry.name}.toml`);
        const seeds = entries.map(({ ip }) => `"${ip}:1"`).join(", ");
        writeFileSync(
            settings,
            `node = "${entry.name}"\nip = "${entry.ip}"\nzone = "z0"\nregion = "r"\nseeds = [${seeds}]\n` +
                `internal-ports = [${port + 2}, ${port + 9}]\n[zones]\nz0 = "r"\nz1 = "r"\n` +
                `[listen]\nfront = "${entry.ip}:${port}"\nready = "${entry.ip}:${port + 1}"\n` +
                "[limits]\nlink-mbps = 1000\n[bounds]\ndrain-ms = 2000\ngrace-s = 8\nconfig-apply-ms = 2000\n" +
                "version_ms = 8000\nretry-budget-ratio = 0.2\nretry-budget-slack = 100\nbudget-window-s = 10\n" +
                `[platform]\naddress = "${entry.store.address}"\n`,
        );
        const child = spawn(process.execPath, [MAIN, "entry"], {
            env: { ...process.env, ENDIVEWELL_SETTINGS: settings },
            stdio: ["ignore", "ignore", "pipe"],
        });
        child.stderr?.on("data", text => problems.push(`${entry.name} wrote to its error output: ${String(text)}`));
        child.once("exit", (code, signal) => {
            if (entry.child === child) entry.child = undefined;
            if (!entry.isEnding) problems.push(`${entry.name} ended by itself with ${code ?? signal}`);
            options.log(`${entry.name} ended`);
            entry.disturbedAt = now();
            if (!isOver) setTimeout(() => isOver || startEntry(entry), 300);
        });
        entry.child = child;
    }

    function signalEntry(entry: EntryProcess, signal: NodeJS.Signals): void {
        const at = now();
        if (signal === "SIGTERM") entry.isPlannedStop = at - entryDisturbedAt(entry, at) > SETTLE_MS;
        else if (signal !== "SIGHUP") entry.isPlannedStop = false;
        if (signal !== "SIGTERM") entry.disturbedAt = at;
        if (signal === "SIGKILL" || signal === "SIGTERM") entry.isEnding = true;
        entry.child?.kill(signal);
    }

    async function isReady({ ip }: EntryProcess): Promise<boolean> {
        return (await sendCall(port + 1, { path: "/", ip })).status === 200;
    }

    /** Callers stay on their connection until it ends, whatever the entry is told in the meantime. */
    async function runCaller(): Promise<void> {
        while (!isOver) {
            const entry = pick(entries);
            const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
            for (let rounds = 0; rounds < 40 && !isOver; rounds++) {
                if (!await sendOne(entry, agent)) break;
            }
            agent.destroy();
            await sleep(50);
        }
    }

    /** Returns whether the connection can go on. */
    async function sendOne(entry: EntryProcess, agent: http.Agent): Promise<boolean> {
        const kind = pick(KINDS);
        const [key, { account, addedAt, revokedAt }] = pick([...keys]);
        const id = `c${++serial}`;
        const sentAt = now();
        ledger.sent({ id, kind, account, sentAt });
        const leaving = new AbortController();
        const patienceMs = random() < 0.05 ? between(5, 60) : 6000;
        const timer = setTimeout(() => leaving.abort(), patienceMs);
        const received = await sendCall(port, {
            ip: entry.ip,
            path: PATHS[kind],
            method: kind === "read" ? "GET" : "POST",
            ...kind === "read" ? {} : { body: `body of ${id}` },
            headers: { "attempt-id": id, key },
            agent,
            signal: leaving.signal,
        });
        clearTimeout(timer);
        const at = now();
        const isCalm = isStoreSettled(at) && at - entryDisturbedAt(entry, at) > SETTLE_MS;
        ledger.ended(id, {
            status: received.status,
            body: received.body,
            isSigned: received.headers["response-seal"] !== undefined,
            isWhole: received.isComplete,
            at,
            hasLeft: leaving.signal.aborted,
            isDisturbed: at - entryDisturbedAt(entry, at) < SETTLE_MS,
            isPlannedStop: entry.isPlannedStop && at - (entry.store.disturbedAt(at) ?? 0) > SETTLE_MS &&
                at - serverDisturbedAt > SETTLE_MS,
        });
        const wasRevoked = revokedAt !== undefined && sentAt - revokedAt > CONFIGURATION_MS + NOISE_MS;
        if (isCalm && wasRevoked && isStoreSettled(revokedAt) && ![0, 401, 503].includes(received.status)) {
            problems.push(`${kind} ${id} with a key that was removed ${Math.round(sentAt - revokedAt)} ms before`);
        }
        const sinceAddedMs = Math.round(sentAt - addedAt);
        const isInForce = sinceAddedMs > CONFIGURATION_MS + NOISE_MS;
        if (isCalm && isInForce && revokedAt === undefined && received.status === 401) {
            problems.push(`${kind} ${id} denied ${sinceAddedMs} ms after its key was added`);
        }
        return received.status !== 0;
    }

    const STORE_TROUBLES: readonly StoreFault[] = ["busy", "silent", "reset"];
    const LINK_TROUBLES: readonly LinkTrouble[] = ["delay", "reset", "silent", "one way", "refuse"];

    const FAULTS: Readonly<Record<string, () => Promise<void>>> = {
        "kill an entry": async () => signalEntry(pick(entries), "SIGKILL"),
        "stop an entry": async () => signalEntry(pick(entries), "SIGTERM"),
        "stop all entries in turn": async () => {
            for (const entry of entries) {
                signalEntry(entry, "SIGTERM");
                await sleep(1000);
            }
        },
        "kill all entries": async () => entries.forEach(entry => signalEntry(entry, "SIGKILL")),
        "freeze an entry": async () => {
            const entry = pick(entries);
            signalEntry(entry, "SIGSTOP");
            await sleep(between(200, 2500));
            signalEntry(entry, "SIGCONT");
        },
        "reload an entry": async () => {
            for (let index = 0; index < 3; index++) {
                const entry = pick(entries);
                // Before Node runs the program, a SIGHUP ends it whatever the program does.
                if (now() - entry.startedAt > BOOT_MS) signalEntry(entry, "SIGHUP");
                await sleep(200);
            }
        },
        "trouble of the store": async () => {
            const lapsing = servers.filter(({ leftAt, isGone }) => leftAt === undefined && !isGone && random() < 0.3);
            storeDisturbedAt = Number.POSITIVE_INFINITY;
            store.setFault(pick(STORE_TROUBLES));
            await sleep(between(500, 4000));
            for (const { id } of lapsing) store.remove("servers", id);
            store.setFault("none");
            storeDisturbedAt = now();
            await sleep(1000);
            for (const server of lapsing) if (server.leftAt === undefined && !server.isGone) putServer(server);
            storeDisturbedAt = now();
        },
        "history of the store dropped": async () => {
            storeDisturbedAt = now();
            store.compact();
        },
        "trouble between an entry and the store": async () => {
            const { store: link } = pick(entries);
            link.setTrouble(pick(LINK_TROUBLES), now());
            await sleep(between(500, 4000));
            link.setTrouble("none", now());
        },
        "trouble between the entries and a server": async () => {
            const { link } = pick(servers);
            link.setTrouble(pick(LINK_TROUBLES), now());
            serverDisturbedAt = Number.POSITIVE_INFINITY;
            await sleep(between(300, 3000));
            link.setTrouble("none", now());
            serverDisturbedAt = now();
        },
        "crash of a server": async () => {
            const server = pick(servers);
            if (server.isGone) return;
            server.isGone = true;
            serverDisturbedAt = now();
            server.link.setTrouble("refuse", now());
            server.runner.close();
            await addServer();
            await sleep(LAPSE_MS);
            store.remove("servers", server.id);
        },
        "drain of a server": async () => {
            const server = pick(servers);
            if (server.isGone || server.leftAt !== undefined) return;
            await addServer();
            putServer(server, "draining");
            server.leftAt = now();
            await sleep(DRAIN_MS + 2 * NOISE_MS);
            server.isGone = true;
            store.remove("servers", server.id);
        },
        "change of the keys": async () => {
            for (let index = 0; index < 2; index++) {
                addKey();
                const inForce = [...keys.values()].filter(({ revokedAt }) => revokedAt === undefined);
                if (inForce.length > 3) pick(inForce).revokedAt = now();
                writeConfiguration();
                await sleep(300);
            }
        },
    };

    try {
        for (let index = 0; index < 3; index++) addKey();
        writeConfiguration();
        for (let index = 0; index < options.servers; index++) await addServer();
        for (let index = 0; index < options.entries; index++) {
            entries.push({
                name: `entry-${index}`,
                ip: `127.0.0.${index + 2}`,
                store: await startFaultProxy(() => store.address),
                child: undefined,
                startedAt: now(),
                disturbedAt: now(),
                isPlannedStop: false,
                isEnding: false,
            });
        }
        for (const entry of entries) startEntry(entry);
        for (const entry of entries) await waitUntil(() => isReady(entry));
        const callers = Array.from({ length: options.callers }, runCaller);
        const endAt = now() + options.seconds * 1000;
        const running = new Set<Promise<void>>();
        while (now() < endAt) {
            const name = pick(Object.keys(FAULTS));
            options.log(`${((now() - endAt) / 1000 + options.seconds).toFixed(1)} s ${name}`);
            faults++;
            const fault = FAULTS[name]?.().finally(() => running.delete(fault as Promise<void>));
            if (fault !== undefined) running.add(fault);
            // Three faults overlap at most; a longer series would leave nothing that can serve.
            if (running.size >= 3) await Promise.race(running);
            await sleep(between(200, 1200));
        }
        await Promise.all(running);
        await sleep(SETTLE_MS);
        for (const entry of entries) {
            const ready = await waitUntil(() => isReady(entry)).then(() => true, () => false);
            if (!ready) problems.push(`${entry.name} isn't ready after the last fault`);
        }
        isOver = true;
        await Promise.all(callers);
    }
    finally {
        isOver = true;
        for (const entry of entries) {
            entry.isEnding = true;
            entry.child?.kill("SIGKILL");
            entry.store.close();
        }
        for (const { runner, link } of servers) {
            runner.close();
            link.close();
        }
        store.close();
        rmSync(directory, { recursive: true });
    }
    return { violations: [...problems, ...ledger.violations()], faults, ...ledger.counts() };
}
