/** `endivewell local`: runs a whole system on loopback and demonstrates a rollout, a request and a booking. */
import { Command, Flags } from "@oclif/core";
import { randomBytes } from "node:crypto";
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import { createObjectStore, sendRequest } from "../clients/index.js";
import { listDistinctChunks, totalChunkBytes } from "../core/index.js";
import {
    DEMO_CLIENT_KEY,
    DEMO_OPERATOR_TOKEN,
    DEMO_SERVICE,
    type LocalFleet,
    startLocalFleet,
} from "../local/index.js";
import { publishDirectory } from "../publish/index.js";
import { waitForShutdownSignal } from "./shutdownSignal.js";

const DEMO_WEIGHT_BYTES = 8 * 1024 * 1024;
const ORIGIN_BYTES_PER_SECOND = 64 * 1024 * 1024;
const ROLLOUT_TIMEOUT_MS = 120_000;
const PROFILE_NAME = "demo";

export class LocalCommand extends Command {
    static override readonly summary =
        "Run a whole system on this machine, with fakes of the platform and the engines.";
    static override readonly examples = [
        "<%= config.bin %> local",
        "<%= config.bin %> local --weights ./weights --replicas 4 --once",
    ];
    static override readonly flags = {
        weights: Flags.string({ summary: "Directory of files to publish; random bytes if absent." }),
        replicas: Flags.integer({ summary: "Number of model replicas.", default: 4, min: 1, max: 64 }),
        port: Flags.integer({ summary: "Port of the entry; 0 takes a free one.", default: 0, min: 0, max: 65535 }),
        once: Flags.boolean({ summary: "Exit after the first rollout, request and booking." }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(LocalCommand);
        const directory = await mkdtemp(join(tmpdir(), "endivewell-"));
        const fleet = await startLocalFleet({
            replicas: flags.replicas,
            directory,
            originBytesPerSecond: ORIGIN_BYTES_PER_SECOND,
            port: flags.port,
        });
        try {
            await this.runDemo(fleet, flags.weights ?? await writeDemoWeights(directory));
            if (!flags.once) {
                this.printCommands(fleet, join(directory, "operator.token"));
                await waitForShutdownSignal();
            }
        }
        finally {
            await fleet.stop();
            await rm(directory, { recursive: true, force: true });
        }
    }

    private async runDemo(fleet: LocalFleet, weightsDirectory: string): Promise<void> {
        const store = createObjectStore({ url: fleet.platform.url, timeoutMs: 30_000 });
        const version = await publishDirectory({ directory: weightsDirectory, model: "demo-model", store });
        const versionBytes = totalChunkBytes(listDistinctChunks(version.manifest));
        this.log(`published version ${version.rootDigest} (${versionBytes} bytes)`);
        const startedAtMs = performance.now();
        await send(fleet, "PUT", `/admin/v1/profiles/${PROFILE_NAME}`, DEMO_OPERATOR_TOKEN, {
            name: PROFILE_NAME,
            model: "demo-model",
            rootDigest: version.rootDigest,
            service: DEMO_SERVICE,
        });
        await this.followRollout(fleet, version.rootDigest);
        const seconds = (performance.now() - startedAtMs) / 1000;
        const originCopies = fleet.platform.originBytes() / versionBytes;
        this.log(`${fleet.engines.length} replicas serve the version after ${seconds.toFixed(2)} s`);
        this.log(`origin sent ${fleet.platform.originBytes()} bytes (${originCopies.toFixed(2)} copies)`);
        await this.sendFirstRequests(fleet);
    }

    private async followRollout(fleet: LocalFleet, rootDigest: string): Promise<void> {
        const deadline = Date.now() + ROLLOUT_TIMEOUT_MS;
        const replicas = fleet.agents.filter(agent => agent.state().kind === "model");
        const lastLines = new Map<string, string>();
        while (replicas.some(agent => agent.state().servingDigest !== rootDigest)) {
            if (Date.now() > deadline) {
                throw new VError("the demo rollout timed out; run with DEBUG=endivewell:* to see its progress");
            }
            for (const agent of replicas) this.logProgressIfChanged(agent.state(), lastLines);
            await sleep(100);
        }
        for (const agent of replicas) this.logProgressIfChanged(agent.state(), lastLines);
        // Waits for the state reports that tell the entry of the new version.
        await sleep(200);
    }

    private logProgressIfChanged(
        state: ReturnType<LocalFleet["agents"][number]["state"]>,
        lastLines: Map<string, string>,
    ): void {
        const transfer = state.transfers[0];
        const phase = state.servingDigest === "" ? transfer?.phase ?? "waiting" : "serving";
        const line = `${state.process}: ${phase}, ${transfer?.chunksHeld ?? 0}/${transfer?.chunksTotal ?? 0} chunks`;
        if (lastLines.get(state.process) === line) return;
        lastLines.set(state.process, line);
        this.log(line);
    }

    private async sendFirstRequests(fleet: LocalFleet): Promise<void> {
        const startedAtMs = performance.now();
        const response = await send(fleet, "POST", "/v1/chat/completions", DEMO_CLIENT_KEY, {
            model: PROFILE_NAME,
            stream: true,
            max_tokens: 8,
            messages: [{ role: "user", content: "How do I mend a chair seat?" }],
        });
        const events = response.body.toString("utf8").split("\n\n").filter(event => event.startsWith("data: "));
        this.log(`streamed request: ${events.length} events in ${Math.round(performance.now() - startedAtMs)} ms`);
        const bookingStartedAtMs = performance.now();
        const booking = await send(fleet, "POST", "/services/bookings/bookings", DEMO_CLIENT_KEY, {
            reference: "demo-1",
        });
        const bookingMs = Math.round(performance.now() - bookingStartedAtMs);
        this.log(`booking: ${booking.body.toString("utf8")} in ${bookingMs} ms`);
    }

    private printCommands(fleet: LocalFleet, tokenFile: string): void {
        const program = process.argv[1]?.endsWith(".cjs") ? `node ${process.argv[1]}` : process.execPath;
        const flags = `--entry ${fleet.url} --token-file ${tokenFile}`;
        this.log(`
The system keeps running at ${fleet.url}. Try:
  curl -H 'Authorization: Bearer ${DEMO_CLIENT_KEY}' ${fleet.url}/v1/models
  curl -N -H 'Authorization: Bearer ${DEMO_CLIENT_KEY}' ${fleet.url}/v1/chat/completions \\
    -d '{"model":"${PROFILE_NAME}","stream":true,"messages":[{"role":"user","content":"Hello"}]}'
  ${program} status ${flags}
  ${program} watch ${PROFILE_NAME} ${flags}
  ${program} profile show ${PROFILE_NAME} ${flags}
  ${program} timeline --subject ${PROFILE_NAME} ${flags}
Ctrl-C stops it.`);
    }
}

async function send(fleet: LocalFleet, method: string, path: string, key: string, body: unknown) {
    const response = await sendRequest({
        method,
        url: fleet.url + path,
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
        body: JSON.stringify(body),
        timeoutMs: 30_000,
    });
    if (response.status >= 300) {
        throw new Error(`${method} ${path} failed with status ${response.status}: ${response.body.toString("utf8")}`);
    }
    return response;
}

async function writeDemoWeights(directory: string): Promise<string> {
    const weights = join(directory, "demo-weights");
    await mkdir(weights);
    await writeFile(join(weights, "model.safetensors"), randomBytes(DEMO_WEIGHT_BYTES));
    await writeFile(join(weights, "config.json"), "{}\n");
    return weights;
}
