/**
 * A run of the fault soak: entries as separate processes between callers and fakes of the store and of backend servers.
 * Faults are drawn from a seed and injected from outside the entries; up to three overlap.
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
    type FakeRunner,
    notRunResponse,
    type ReceivedRequest,
    serverRow,
    startFakeRunner,
    streamResponseHead,
} from "../platform/fakeRunner.js";
import { startFakeStore, type StoreFault } from "../platform/fakeStore.js";
import { findFreePortRange, sendCall, waitUntil } from "../router/routerHarness.js";
import { type FaultProxy, type LinkFault, startFaultProxy } from "./faultProxy.js";
import { type CallKind, createLedger, eventTexts, expectedBody } from "./ledger.js";

export interface SoakOptions {
    readonly seed: number;
    readonly seconds: number;
    readonly entries: number;
    readonly servers: number;
    readonly callers: number;
    /** Called with a line of text for each injected fault and each process exit. */
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

/** Time after a fault during which its effects are still tolerated (`stability-window-ms` of the requirements). */
const STABILITY_WINDOW_MS = 3000;

/** Time within which every entry applies a new configuration (`config-apply-ms`). */
const CONFIG_APPLY_MS = 2000;

/** Time during which a draining server may still get calls (`drain-ms`). */
const DRAIN_MS = 2000;

/** Allowance for scheduling delays on a busy machine. */
const SCHEDULING_DELAY_MS = 500;

/** Time until Node.js runs the program's code on a busy machine. */
const NODE_STARTUP_MS = 400;

/**
 * The fault proxy treats a reset that arrives together with bytes as a normal end, so the reset is sent after a delay.
 */
const RESET_DELAY_MS = 50;

/** A sound server may be silent for about a second and go on. Entries look for another one after a second. */
const SILENCE_MS = 1200;

/** Returns whether the server of a call is silent for a while; `draw` is the call's random number. */
const isSilent = (draw: number) => draw > 0.5 && draw < 0.52;

/** Time after which the registry row of a crashed server expires. */
const REGISTRY_EXPIRY_MS = 1500;

const CALL_KINDS: readonly CallKind[] = ["read", "book", "talk"];

/** Path of the route for each kind of call in the fake store's configuration. */
const PATH_BY_KIND = { read: "/read/x", book: "/book/x", talk: "/talk/x" } as const;

interface EntryProcess {
    readonly name: string;
    readonly ip: string;
    readonly storeLink: FaultProxy;
    child: ChildProcess | undefined;
    startedAt: number;
    lastFaultAt: number;
    /** The process got SIGTERM while no fault affected it, and none has since. */
    isGracefulStop: boolean;
    /** The process got SIGTERM or SIGKILL, so its exit isn't a failure. */
    isExitExpected: boolean;
}

interface Server {
    readonly id: string;
    readonly runner: FakeRunner;
    readonly link: FaultProxy;
    drainStartedAt: number | undefined;
    isStopped: boolean;
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
    const violations: string[] = [];
    const store = await startFakeStore();
    const port = await findFreePortRange();
    const entries: EntryProcess[] = [];
    const servers: Server[] = [];
    const keys = new Map<string, {
        readonly account: string;
        readonly addedAt: number;
        revokedAt: number | undefined;
    }>();
    let lastStoreFaultAt = Number.NEGATIVE_INFINITY;
    /** Time of the last server crash or link fault, which may interrupt calls that had started. */
    let lastServerFaultAt = Number.NEGATIVE_INFINITY;
    let version = 0;
    let lastSerial = 0;
    let faultCount = 0;
    let isFinished = false;

    function writeConfiguration(): void {
        version += 1 + Math.floor(random() * 3);
        const tenants = [...keys].flatMap(([key, { account, revokedAt }]) =>
            revokedAt === undefined ? [{ name: account, "api-keys": [key] }] : []
        );
        store.put("op", "config", configurationRow(version, { tenants }));
    }

    function addKey(): void {
        lastSerial++;
        keys.set(`key-${lastSerial}`, { account: `account-${lastSerial}`, addedAt: now(), revokedAt: undefined });
    }

    function isStoreStable(at: number): boolean {
        return at - lastStoreFaultAt > STABILITY_WINDOW_MS;
    }

    async function addServer(): Promise<void> {
        lastSerial++;
        const id = `i-${lastSerial}`;
        const runner = await startFakeRunner(request => handleRequest(server, request));
        const link = await startFaultProxy(() => runner.address);
        const server: Server = { id, runner, link, drainStartedAt: undefined, isStopped: false };
        servers.push(server);
        registerServer(server);
    }

    function registerServer({ id, link }: Server, state = "ready"): void {
        const zone = `z${servers.length % 2}`;
        store.put("servers", id, serverRow(link.address, { state, zone, slots: 16, born: 1000 + lastSerial }));
    }

    /**
     * Handles a call on a server. Most calls succeed; the others fail in one of the ways that the requirements list,
     * drawn at random.
     */
    function handleRequest(server: Server, request: ReceivedRequest): void {
        const { socket, attemptId: id } = request;
        if (request.header("expect-instance") !== server.id) {
            socket.write("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        const draw = random();
        if (draw < 0.04) {
            socket.write(notRunResponse());
            return;
        }
        const at = now();
        const isStable = server.drainStartedAt !== undefined && isStoreStable(server.drainStartedAt) &&
            isStoreStable(at) &&
            entries.every(entry => at - lastEntryFaultAt(entry, at) > STABILITY_WINDOW_MS);
        ledger.recordRun({
            id,
            account: request.header("tenant"),
            startedAt: at,
            isAfterDrain: isStable && at - (server.drainStartedAt ?? at) > DRAIN_MS + SCHEDULING_DELAY_MS,
            isAffectedByFault: at - (server.link.lastFaultAt(at) ?? Number.NEGATIVE_INFINITY) < STABILITY_WINDOW_MS,
            isCompletelyAnswered: draw >= 0.14 && !server.isStopped,
        });
        if (draw < 0.06) {
            socket.resetAndDestroy();
            return;
        }
        if (draw < 0.065) return;
        if (/ \/talk\//.test(request.head)) void sendStreamResponse(request, draw);
        else setTimeout(() => sendPlainResponse(request, id, draw), draw * 60 + (isSilent(draw) ? SILENCE_MS : 0));
    }

    function sendPlainResponse(request: ReceivedRequest, id: string, draw: number): void {
        const { socket } = request;
        const body = expectedBody("read", id);
        const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n`;
        if (draw < 0.08) socket.write(completeResponse(request, "failed", "500 Internal Server Error"));
        else if (draw < 0.1) socket.end(`${head}\r\n${body}`);
        else if (draw < 0.11) {
            socket.write(`${head}\r\n${body.slice(0, 5)}`);
            setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
        }
        else if (draw < 0.12) socket.end(`${head}Content-Length: ${body.length}\r\n\r\n${body.slice(0, 5)}`);
        else socket.write(completeResponse(request, body));
        if (draw > 0.98) setTimeout(() => socket.write(completeResponse(request, "extra")), 10);
    }

    async function sendStreamResponse(request: ReceivedRequest, draw: number): Promise<void> {
        const { socket, attemptId: id } = request;
        const texts = eventTexts(id, 1 + Number(request.header("last-event-id") || "0"));
        const middle = Math.floor(texts.length / 2);
        const breakAt = draw < 0.14 ? middle : -1;
        socket.write(streamResponseHead(request));
        for (const [index, text] of texts.entries()) {
            if (index === breakAt) {
                socket.write(encodeChunk(text.slice(0, 9)), () => socket.resetAndDestroy());
                return;
            }
            if (index === middle && isSilent(draw)) await sleep(SILENCE_MS);
            if (socket.destroyed) return;
            socket.write(encodeChunk(text));
            await sleep(8);
        }
        socket.write("0\r\n\r\n");
    }

    function lastEntryFaultAt(entry: EntryProcess, at: number): number {
        return Math.max(entry.lastFaultAt, entry.storeLink.lastFaultAt(at) ?? Number.NEGATIVE_INFINITY);
    }

    function startEntry(entry: EntryProcess): void {
        entry.isExitExpected = false;
        entry.isGracefulStop = false;
        entry.startedAt = entry.lastFaultAt = now();
        const settings = join(directory, `${entry.name}.toml`);
        const seeds = entries.map(({ ip }) => `"${ip}:1"`).join(", ");
        writeFileSync(
            settings,
            `node = "${entry.name}"\nip = "${entry.ip}"\nzone = "z0"\nregion = "r"\nseeds = [${seeds}]\n` +
                `internal-ports = [${port + 2}, ${port + 9}]\n[zones]\nz0 = "r"\nz1 = "r"\n` +
                `[listen]\nfront = "${entry.ip}:${port}"\nready = "${entry.ip}:${port + 1}"\n` +
                "[limits]\nlink-mbps = 1000\n[bounds]\ndrain-ms = 2000\ngrace-s = 8\nconfig-apply-ms = 2000\n" +
                "version_ms = 8000\nretry-budget-ratio = 0.2\nretry-budget-slack = 100\nbudget-window-s = 10\n" +
                `[platform]\naddress = "${entry.storeLink.address}"\n`,
        );
        const child = spawn(process.execPath, [MAIN, "entry"], {
            env: { ...process.env, ENDIVEWELL_SETTINGS: settings },
            stdio: ["ignore", "ignore", "pipe"],
        });
        child.stderr?.on("data", text => violations.push(`${entry.name} wrote to standard error: ${String(text)}`));
        child.once("exit", (code, signal) => {
            if (entry.child === child) entry.child = undefined;
            if (!entry.isExitExpected) violations.push(`${entry.name} exited unexpectedly with ${code ?? signal}`);
            options.log(`${entry.name} exited`);
            entry.lastFaultAt = now();
            if (!isFinished) setTimeout(() => isFinished || startEntry(entry), 300);
        });
        entry.child = child;
    }

    function signalEntry(entry: EntryProcess, signal: NodeJS.Signals): void {
        const at = now();
        if (signal === "SIGTERM") entry.isGracefulStop = at - lastEntryFaultAt(entry, at) > STABILITY_WINDOW_MS;
        else if (signal !== "SIGHUP") entry.isGracefulStop = false;
        if (signal !== "SIGTERM") entry.lastFaultAt = at;
        if (signal === "SIGKILL" || signal === "SIGTERM") entry.isExitExpected = true;
        entry.child?.kill(signal);
    }

    async function isReady({ ip }: EntryProcess): Promise<boolean> {
        return (await sendCall(port + 1, { path: "/", ip })).status === 200;
    }

    /** Sends calls over a persistent connection until it ends, whatever signals the entry gets in the meantime. */
    async function runCaller(): Promise<void> {
        while (!isFinished) {
            const entry = pick(entries);
            const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
            for (let callCount = 0; callCount < 40 && !isFinished; callCount++) {
                if (!await sendOneCall(entry, agent)) break;
            }
            agent.destroy();
            await sleep(50);
        }
    }

    /** Returns whether the connection is still usable. */
    async function sendOneCall(entry: EntryProcess, agent: http.Agent): Promise<boolean> {
        const kind = pick(CALL_KINDS);
        const [key, { account, addedAt, revokedAt }] = pick([...keys]);
        const id = `c${++lastSerial}`;
        const sentAt = now();
        ledger.recordSent({ id, kind, account, sentAt });
        const cancellation = new AbortController();
        const cancelAfterMs = random() < 0.05 ? between(5, 60) : 6000;
        const timer = setTimeout(() => cancellation.abort(), cancelAfterMs);
        const received = await sendCall(port, {
            ip: entry.ip,
            path: PATH_BY_KIND[kind],
            method: kind === "read" ? "GET" : "POST",
            ...kind === "read" ? {} : { body: `body of ${id}` },
            headers: { "attempt-id": id, key },
            agent,
            signal: cancellation.signal,
        });
        clearTimeout(timer);
        const at = now();
        const isFaultFree = isStoreStable(at) && at - lastEntryFaultAt(entry, at) > STABILITY_WINDOW_MS;
        ledger.recordResult(id, {
            status: received.status,
            body: received.body,
            isSigned: received.headers["response-seal"] !== undefined,
            isComplete: received.isComplete,
            endedAt: at,
            isCancelled: cancellation.signal.aborted,
            isAffectedByFault: at - lastEntryFaultAt(entry, at) < STABILITY_WINDOW_MS,
            isGracefulStop: entry.isGracefulStop && at - (entry.storeLink.lastFaultAt(at) ?? 0) > STABILITY_WINDOW_MS &&
                at - lastServerFaultAt > STABILITY_WINDOW_MS,
        });
        const wasRevoked = revokedAt !== undefined && sentAt - revokedAt > CONFIG_APPLY_MS + SCHEDULING_DELAY_MS;
        if (isFaultFree && wasRevoked && isStoreStable(revokedAt) && ![0, 401, 503].includes(received.status)) {
            violations.push(
                `${kind} ${id} wasn't denied ${Math.round(sentAt - revokedAt)} ms after its key was removed`,
            );
        }
        const sinceAddedMs = Math.round(sentAt - addedAt);
        const isConfigurationApplied = sinceAddedMs > CONFIG_APPLY_MS + SCHEDULING_DELAY_MS;
        if (isFaultFree && isConfigurationApplied && revokedAt === undefined && received.status === 401) {
            violations.push(`${kind} ${id} was denied ${sinceAddedMs} ms after its key was added`);
        }
        return received.status !== 0;
    }

    const STORE_FAULTS: readonly StoreFault[] = ["busy", "silent", "reset"];
    const LINK_FAULTS: readonly LinkFault[] = ["delay", "reset", "silent", "one way", "refuse"];

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
                // Before Node.js runs the program's code, a SIGHUP terminates the process; the program can't prevent
                // that.
                if (now() - entry.startedAt > NODE_STARTUP_MS) signalEntry(entry, "SIGHUP");
                await sleep(200);
            }
        },
        "disturb the store": async () => {
            const expiringServers = servers.filter(({ drainStartedAt, isStopped }) =>
                drainStartedAt === undefined && !isStopped && random() < 0.3
            );
            lastStoreFaultAt = Number.POSITIVE_INFINITY;
            store.setFault(pick(STORE_FAULTS));
            await sleep(between(500, 4000));
            for (const { id } of expiringServers) store.remove("servers", id);
            store.setFault("none");
            lastStoreFaultAt = now();
            await sleep(1000);
            for (const server of expiringServers) {
                if (server.drainStartedAt === undefined && !server.isStopped) registerServer(server);
            }
            lastStoreFaultAt = now();
        },
        "drop the store's change history": async () => {
            lastStoreFaultAt = now();
            store.compact();
        },
        "disturb the link between an entry and the store": async () => {
            const { storeLink } = pick(entries);
            storeLink.setFault(pick(LINK_FAULTS), now());
            await sleep(between(500, 4000));
            storeLink.setFault("none", now());
        },
        "disturb the link between the entries and a server": async () => {
            const { link } = pick(servers);
            link.setFault(pick(LINK_FAULTS), now());
            lastServerFaultAt = Number.POSITIVE_INFINITY;
            await sleep(between(300, 3000));
            link.setFault("none", now());
            lastServerFaultAt = now();
        },
        "crash a server": async () => {
            const server = pick(servers);
            if (server.isStopped) return;
            server.isStopped = true;
            lastServerFaultAt = now();
            server.link.setFault("refuse", now());
            server.runner.close();
            await addServer();
            await sleep(REGISTRY_EXPIRY_MS);
            store.remove("servers", server.id);
        },
        "drain a server": async () => {
            const server = pick(servers);
            if (server.isStopped || server.drainStartedAt !== undefined) return;
            await addServer();
            registerServer(server, "draining");
            server.drainStartedAt = now();
            await sleep(DRAIN_MS + 2 * SCHEDULING_DELAY_MS);
            server.isStopped = true;
            store.remove("servers", server.id);
        },
        "change the keys": async () => {
            for (let index = 0; index < 2; index++) {
                addKey();
                const activeKeys = [...keys.values()].filter(({ revokedAt }) => revokedAt === undefined);
                if (activeKeys.length > 3) pick(activeKeys).revokedAt = now();
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
                storeLink: await startFaultProxy(() => store.address),
                child: undefined,
                startedAt: now(),
                lastFaultAt: now(),
                isGracefulStop: false,
                isExitExpected: false,
            });
        }
        for (const entry of entries) startEntry(entry);
        for (const entry of entries) await waitUntil(() => isReady(entry));
        const callers = Array.from({ length: options.callers }, runCaller);
        const endAt = now() + options.seconds * 1000;
        const activeFaults = new Set<Promise<void>>();
        while (now() < endAt) {
            const name = pick(Object.keys(FAULTS));
            options.log(`${((now() - endAt) / 1000 + options.seconds).toFixed(1)} s ${name}`);
            faultCount++;
            const fault = FAULTS[name]?.().finally(() => activeFaults.delete(fault as Promise<void>));
            if (fault !== undefined) activeFaults.add(fault);
            // At most three faults overlap; with more, no server or entry could serve calls.
            if (activeFaults.size >= 3) await Promise.race(activeFaults);
            await sleep(between(200, 1200));
        }
        await Promise.all(activeFaults);
        await sleep(STABILITY_WINDOW_MS);
        for (const entry of entries) {
            const becameReady = await waitUntil(() => isReady(entry)).then(() => true, () => false);
            if (!becameReady) violations.push(`${entry.name} isn't ready after the last fault`);
        }
        isFinished = true;
        await Promise.all(callers);
    }
    finally {
        isFinished = true;
        for (const entry of entries) {
            entry.isExitExpected = true;
            entry.child?.kill("SIGKILL");
            entry.storeLink.close();
        }
        for (const { runner, link } of servers) {
            runner.close();
            link.close();
        }
        store.close();
        rmSync(directory, { recursive: true });
    }
    return { violations: [...violations, ...ledger.listViolations()], faults: faultCount, ...ledger.counts() };
}
