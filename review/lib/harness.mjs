/**
 * Starts the project's own programs with the commands of the deploy file, on loopback addresses, with settings like
 * those of a small deployment, and writes the record of a case.
 */
import { spawn } from "node:child_process";
import { createSocket } from "node:dgram";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const REPOSITORY = fileURLToPath(new URL("../../", import.meta.url));

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** A case that takes longer can't have run as planned. */
const MAX_DURATION_MS = 115_000;

/** Bounds of the sheets of the sites, as the settings file states them. */
export const BOUNDS = {
    stabilityMs: 3000,
    configurationMs: 2000,
    drainMs: 2000,
    recoveryMs: 12_000,
    weightsMs: 8000,
    graceMs: 8000,
};

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

export const now = () => performance.now();

/** Resolves with false if the condition isn't met in time. */
export async function waitUntil(condition, timeoutMs, intervalMs = 50) {
    const deadline = now() + timeoutMs;
    while (now() < deadline) {
        if (await condition()) return true;
        await sleep(intervalMs);
    }
    return false;
}

/**
 * Runs a case. `play` gets the context and returns an exit code. All processes that it started have ended when this
 * returns.
 */
export async function runCase(folder, play) {
    const startedAt = now();
    const record = createWriteStream(join(folder, "record.txt"));
    const write = text => record.write(`${((now() - startedAt) / 1000).toFixed(3)} ${text}\n`);
    const directory = mkdtempSync(join(tmpdir(), "endivewell-review-"));
    const cleanups = [];
    const context = { write, directory, onEnd: cleanup => cleanups.push(cleanup), startedAt };
    write(`case started, disruption ${hasTrouble ? "on" : "off"}`);
    let code = NOT_RUN;
    const timeout = sleep(MAX_DURATION_MS).then(() => {
        throw new Error("the case took too long");
    });
    try {
        code = await Promise.race([play(context), timeout]);
    }
    catch (error) {
        write(`the case couldn't run: ${error.stack}`);
    }
    for (const cleanup of cleanups.reverse()) {
        try {
            await cleanup();
        }
        catch (error) {
            write(`cleanup failed: ${error.message}`);
        }
    }
    rmSync(directory, { recursive: true, force: true });
    write(code === HELD ? "the rule held" : code === BROKEN ? "the rule was broken" : "the case couldn't run");
    await new Promise(resolve => record.end(resolve));
    process.exit(code);
}

/** Finds ports `first` to `first + count - 1` that are free for TCP and UDP on all of the addresses. */
export async function findPorts(ips, count) {
    for (let attempt = 0; attempt < 50; attempt++) {
        const first = 20_000 + Math.floor(Math.random() * 10_000);
        const ports = Array.from({ length: count }, (_, index) => first + index);
        const checks = ips.flatMap(ip => ports.flatMap(port => [isTcpFree(ip, port), isUdpFree(ip, port)]));
        if ((await Promise.all(checks)).every(Boolean)) return first;
    }
    throw new Error("no free ports");
}

function isTcpFree(ip, port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, ip, () => server.close(() => resolve(true)));
    });
}

function isUdpFree(ip, port) {
    return new Promise(resolve => {
        const socket = createSocket("udp4");
        socket.once("error", () => resolve(false));
        socket.bind(port, ip, () => socket.close(() => resolve(true)));
    });
}

/** Returns the words of a role's command in the deploy file. */
function roleCommand(role) {
    const text = readFileSync(join(REPOSITORY, "deploy/system.toml"), "utf8");
    const section = text.split(/^\[/m).find(part => part.startsWith(`roles.${role}]`)) ?? "";
    const command = /^run = "(.*)"$/m.exec(section)?.[1];
    if (command === undefined) throw new Error(`the deploy file has no command for ${role}`);
    return command.split(" ");
}

/**
 * Describes the machines of a case. Each has its own loopback address; ports are the same on all of them, as on the
 * platform.
 *
 * `machines` are objects with `name`, `role` ("entry" or "agent"), `ip`, `zone` and, for agents, `app` and `service`.
 */
export async function createMachines(context, machines, storeAddress, { zones, agentLinkMbps = 7.6 }) {
    const base = await findPorts(machines.map(({ ip }) => ip), 20);
    const ports = { front: base, ready: base + 1, control: base + 2, internal: base + 3 };
    const seeds = machines.filter(({ role }) => role === "entry").slice(0, 3).map(({ ip }) => `${ip}:${ports.control}`);
    const result = machines.map(machine => {
        let child;
        let isRestarting = true;
        let startCount = 0;
        let signalledAt = Number.NEGATIVE_INFINITY;
        const exits = [];
        const log = [];
        const settingsFile = join(context.directory, `${machine.name}.toml`);

        function start() {
            startCount++;
            writeFileSync(settingsFile, settingsOf(machine, ports, seeds, zones, storeAddress(machine), {
                isFirst: startCount === 1,
                agentLinkMbps,
            }));
            const [command, ...args] = roleCommand(machine.role);
            const { PATH, HOME, LANG } = process.env;
            const started = spawn(command === "node" ? process.execPath : command, args, {
                cwd: REPOSITORY,
                env: { PATH, HOME, LANG, ENDIVEWELL_SETTINGS: settingsFile },
                stdio: ["ignore", "pipe", "pipe"],
            });
            started.stdout.on("data", text => log.push(String(text)));
            started.stderr.on("data", text => log.push(String(text)));
            started.once("exit", (code, signal) => {
                if (child === started) child = undefined;
                exits.push({ at: now(), code, signal, isExpected: now() - signalledAt < 10_000 });
                context.write(`${machine.name} exited with ${code ?? signal}`);
                if (isRestarting) setTimeout(() => isRestarting && child === undefined && start(), 300);
            });
            child = started;
            context.write(`${machine.name} started`);
        }

        return {
            ...machine,
            ports,
            log,
            exits,
            start,
            pid: () => child?.pid,
            signal: name => {
                signalledAt = now();
                context.write(`${machine.name} gets ${name}`);
                child?.kill(name);
            },
            /** Ends the process and doesn't start it again before `start` is called. */
            kill: () => {
                isRestarting = false;
                signalledAt = now();
                context.write(`${machine.name} is killed`);
                child?.kill("SIGKILL");
            },
            startAgain: () => {
                isRestarting = true;
                start();
            },
            isReady: async () => (await get(machine.ip, ports.ready, "/-/readyz")) === 200,
            stop: async () => {
                isRestarting = false;
                if (child === undefined) return;
                const exited = new Promise(resolve => child.once("exit", resolve));
                child.kill("SIGKILL");
                await exited;
            },
        };
    });
    context.onEnd(() => Promise.all(result.map(machine => machine.stop())));
    context.onEnd(() => {
        if (process.env.LOGS === undefined) return;
        for (const { name, log } of result) writeFileSync(join(process.env.LOGS, `${name}.log`), log.join(""));
    });
    return result;
}

function get(ip, port, path) {
    return new Promise(resolve => {
        const request = http.get({ host: ip, port, path, agent: false, timeout: 1000 }, response => {
            response.resume();
            resolve(response.statusCode);
        });
        request.on("timeout", () => request.destroy());
        request.on("error", () => resolve(undefined));
    });
}

function settingsOf(machine, ports, seeds, zones, storeAddress, { isFirst, agentLinkMbps }) {
    const { name, role, ip, zone, app, service } = machine;
    const isEntry = role === "entry";
    const zoneLines = Object.entries(zones).map(([key, region]) => `${key} = "${region}"`).join("\n");
    return `node = "${name}"
role = "${role}"
machine-class = "${isEntry ? "front" : "side"}"
serves = ${isEntry ? "[\"front\",\"control\"]" : "[\"side\"]"}
ip = "${ip}"
zone = "${zone}"
region = "${zones[zone]}"
internal-ports = [${ports.internal},${ports.internal + 15}]
seeds = ${JSON.stringify(seeds)}
first-start = ${isFirst}
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]
${app === undefined ? "" : `app = "${app}"\nservice = "${service}"\n`}
[zones]
${zoneLines}

[listen]
${
        isEntry ?
            `front = "${ip}:${ports.front}"\nready = "${ip}:${ports.ready}"\ncontrol = "${ip}:${ports.control}"` :
            ""
    }

[limits]
cpu-share = ${isEntry ? 0.675 : 0.81}
cores = 1
memory-mb = ${isEntry ? 480 : 218}
max-fds = ${isEntry ? 6300 : 1494}
link-mbps = ${isEntry ? "1500.0" : agentLinkMbps}
disk-mb = 0

[tolerate]
machines = 2
zones = 1
regions = 0

[bounds]
seed-lag-s = 3
reuse-after-s = 2
stability-window-ms = ${BOUNDS.stabilityMs}
ack-ms = 4000
catch-up-s = 4
drain-ms = ${BOUNDS.drainMs}
grace-s = ${BOUNDS.graceMs / 1000}
loss-slack-ms = 200
config-apply-ms = ${BOUNDS.configurationMs}
rollback-slack-ms = 250
outer-ms = 5000
strict-revoke = false
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-slack = 104
recovery-s = ${BOUNDS.recoveryMs / 1000}
pass-ms = 120
retry-after-s = 0
version_ms = ${BOUNDS.weightsMs}
version_all_ms = 0

[platform]
address = "${storeAddress}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 5.0
part-writes-s = 200
row-bytes = 65536
across = false
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
`;
}

/**
 * Sends a request as a client does and resolves with what it saw: `status`, `headers` and `body`, or `error` if the
 * connection ended without a complete response. Pass an `http.Agent` to keep connections open.
 */
export function sendRequest({ ip, port, host, method = "GET", path, headers = {}, body, agent, timeoutMs = 10_000 }) {
    return new Promise(resolve => {
        const sentAt = now();
        const end = result => resolve({ sentAt, endedAt: now(), ...result });
        const request = http.request({
            host: ip,
            port,
            method,
            path,
            agent: agent ?? false,
            headers: {
                Host: host,
                ...headers,
                ...body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) },
            },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", error => end({ error: error.message }));
            response.on("end", () => {
                if (!response.complete) end({ error: "incomplete" });
                else {
                    end({
                        status: response.statusCode,
                        headers: response.headers,
                        body: Buffer.concat(chunks).toString(),
                    });
                }
            });
        });
        request.setTimeout(timeoutMs, () => request.destroy(new Error("the client gave up")));
        request.on("error", error => end({ error: error.message }));
        request.end(body);
    });
}

let attemptCount = 0;

/** Returns a new identifier of a client attempt. */
export function nextAttemptId() {
    attemptCount++;
    return `${process.pid.toString(16).padStart(8, "0")}${attemptCount.toString(16).padStart(8, "0")}`;
}
