/**
 * Benchmark `faults`: checks the guarantees under fault injection. Calls pass through several entries in three regions
 * while processes are killed, paused, stopped and restarted (two at once in half of the rounds), versions are switched,
 * links between regions are cut, the platform has outages, and the platform, services and engines lose responses. The
 * outcomes reported to callers are compared with the executions of the fake services and engines. Every count under
 * `violations` must be 0.
 *
 * Options: `--runs N` (1) with consecutive seeds from `--seed N` on, by default from the time; `--calls N` (20000) per
 * run, `--workers N` (40) concurrent callers, `--entries N` (3), `--only KIND` to inject only process faults of one
 * kind.
 */
import { randomBytes, randomUUID } from "node:crypto";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
    type Fleet,
    type FleetProcess,
    MODEL_SERVICE,
    OPERATOR_TOKEN,
    sendToEntry,
    startFleet,
    waitUntil,
    waitUntilServing,
} from "../harness/index.js";
import { createObjectStore, type HttpResponse, provesNotSent, sendRequest } from "../lib/clients/index.js";
import { expectedToken } from "../lib/fakes/index.js";
import { publishDirectory } from "../lib/publish/index.js";
import type { Bench } from "./bench.js";

type CallKind = "keyed" | "keyless" | "streamed" | "whole";
type ReportedOutcome = "success" | "notRun" | "unclear";

interface Call {
    readonly kind: CallKind;
    readonly reference: string;
    outcome: ReportedOutcome;
    /**
     * `foreign` if the response belongs to another call, `mixed` if some but not all of its tokens are those that
     * one version generates for this call, else empty.
     */
    responseFault: "" | "mixed" | "foreign";
}

/** An interval in which a fault can interrupt calls, in milliseconds since the epoch. */
interface FaultInterval {
    readonly kind: string;
    readonly start: number;
    end: number;
}

interface Fault {
    readonly kind: string;
    begin(): Promise<void>;
    end(): Promise<void>;
}

const TOKENS_PER_REQUEST = 8;
/** Maximum number of attempts that a caller makes for one call. */
const MAX_ATTEMPT_COUNT = 12;

/** Time until the callers' load balancer detects that `/readyz` of an entry fails. */
const LOAD_BALANCER_DELAY_MS = 1000;

/**
 * Time after the end of a fault in which it can still have effects, for example while connections are re-established.
 */
const FAULT_RECOVERY_MS = 1500;

const REGIONS = ["etela", "lansi", "pohjoinen"] as const;

/** 15 Mbit/s in each direction and 3 ms one way, as in docs/design.md, section 1.5. */
const REGION_LINKS = { bytesPerSecond: 15_000_000 / 8, latencyMs: 3 };

const SEED_COUNT = 2 ** 31;

export const run: Bench = async options => {
    const firstSeed = Number(options.seed ?? Date.now() % SEED_COUNT);
    const runs: Awaited<ReturnType<typeof runOnce>>[] = [];
    for (let seed = firstSeed; seed < firstSeed + Number(options.runs ?? 1); seed++) {
        const results = await runOnce(options, seed);
        process.stderr.write(`seed ${seed}: ${JSON.stringify(results.violations)}\n`);
        runs.push(results);
    }
    const totalViolations = { ...runs[0]?.violations } as Record<string, number>;
    for (const { violations } of runs.slice(1)) {
        for (const [kind, count] of Object.entries(violations)) {
            totalViolations[kind] = (totalViolations[kind] ?? 0) + count;
        }
    }
    return { calls: runs.reduce((sum, { calls }) => sum + calls, 0), violations: totalViolations, runs };
};

async function runOnce(options: Parameters<Bench>[0], seed: number) {
    const callCount = Number(options.calls ?? 20_000);
    const entries = Number(options.entries ?? 3);
    const generator = xoroshiro128plus(seed);
    const random = () => uniformFloat64(generator);
    const fleet = await startFleet({
        entries,
        modelAgentCount: 3,
        bookingAgentCount: 3,
        seed,
        regions: REGIONS,
        regionLinks: REGION_LINKS,
        engine: { slots: 64, tokensPerSecond: 200 },
    });
    try {
        const digests = await publishVersions(fleet);
        const intervals: FaultInterval[] = [];
        const calls: Call[] = [];
        const interruptions = { byDrain: [] as string[], withoutFault: [] as string[] };
        /** Process IDs of the entries that the load balancer has removed. */
        const removedEntryPids = new Set<number>();
        let isDone = false;

        async function attemptCall(call: Call, entry: FleetProcess): Promise<ReportedOutcome> {
            const start = Date.now();
            const { outcome, interruption } = await sendCall(call, entry, digests);
            if (interruption !== "") {
                const overlapping = intervals.filter(fault => fault.end >= start);
                const faultKinds = overlapping.map(({ kind }) => kind).join(", ");
                const description = `${call.kind} through ${entry.name} during ${faultKinds}: ${interruption}`;
                if (overlapping.length === 0) interruptions.withoutFault.push(description);
                else if (overlapping.every(({ kind }) => kind.startsWith("stop"))) {
                    interruptions.byDrain.push(description);
                }
            }
            return outcome;
        }

        async function makeCall(): Promise<void> {
            const call: Call = {
                kind: drawKind(random()),
                reference: randomUUID(),
                outcome: "notRun",
                responseFault: "",
            };
            calls.push(call);
            for (let attempt = 0; attempt < MAX_ATTEMPT_COUNT; attempt++) {
                const ready = fleet.entries.filter(({ pid }) => !removedEntryPids.has(pid));
                const entry = ready[Math.floor(random() * ready.length)] as FleetProcess;
                const outcome = await attemptCall(call, entry);
                // A caller combines its attempts: if one of them may have run, the outcome of the call is unclear.
                if (outcome === "success") call.outcome = "success";
                else if (outcome === "unclear") call.outcome = "unclear";
                if (outcome === "success" || (outcome === "unclear" && call.kind === "keyless")) return;
                await sleep(50 + 100 * attempt);
            }
        }

        async function runCaller(): Promise<void> {
            while (calls.length < callCount) await makeCall();
        }

        const startedAt = Date.now();
        const injection = injectFaults({
            fleet,
            digests,
            random,
            intervals,
            removedEntryPids,
            isDone: () => isDone,
            only: options.only,
        });
        await Promise.all(Array.from({ length: Number(options.workers ?? 40) }, runCaller));
        const seconds = (Date.now() - startedAt) / 1000;
        isDone = true;
        await injection;
        // Claims and calls in progress end before the execution counters are read.
        await sleep(2000);
        const runs = await readRuns(fleet);
        return summarize(calls, runs, interruptions, intervals, { seed, entries, seconds });
    }
    finally {
        await fleet.stop();
    }
}

function drawKind(draw: number): CallKind {
    if (draw < 0.5) return "keyed";
    if (draw < 0.75) return "keyless";
    return draw < 0.875 ? "streamed" : "whole";
}

async function publishVersions(fleet: Fleet): Promise<string[]> {
    const store = createObjectStore({ url: fleet.platformUrl, timeoutMs: 5000 });
    const digests: string[] = [];
    for (const version of ["1", "2"]) {
        const directory = join(fleet.directory, `weights-${version}`);
        await mkdir(directory);
        await writeFile(join(directory, "model.bin"), randomBytes(100_000));
        digests.push((await publishDirectory({ directory, model: "m", store })).rootDigest);
    }
    await changeProfile(fleet, digests[0] as string);
    await waitUntilServing(fleet, fleet.modelAgents, digests[0] as string, 30_000);
    await waitUntil("the entries serve the profile", async () => {
        const responses = await Promise.all(
            fleet.entries.map(entry => sendToEntry(entry, "GET", "/v1/models", "client-0")),
        );
        return responses.every(({ body }) => body.includes("desk"));
    }, 10_000);
    return digests;
}

async function changeProfile(fleet: Fleet, rootDigest: string): Promise<void> {
    const [entry] = fleet.entries;
    if (entry === undefined) return;
    const path = "/admin/v1/profiles/desk";
    const { headers } = await sendToEntry(entry, "GET", path, OPERATOR_TOKEN);
    const condition: Record<string, string> = headers.etag === undefined ? {} : { "if-match": headers.etag };
    const profile = { name: "desk", model: "m", rootDigest, service: MODEL_SERVICE };
    await sendToEntry(entry, "PUT", path, OPERATOR_TOKEN, profile, condition);
}

interface AttemptResult {
    readonly outcome: ReportedOutcome;
    /** How the call was interrupted after it had been sent; empty if it wasn't. */
    readonly interruption: string;
}

async function sendCall(call: Call, entry: FleetProcess, digests: readonly string[]): Promise<AttemptResult> {
    const { kind, reference } = call;
    const client = `client-${reference.charCodeAt(0) % 4}`;
    try {
        if (kind === "keyed" || kind === "keyless") {
            const headers: Record<string, string> = kind === "keyed" ? { "idempotency-key": reference } : {};
            const response = await sendToEntry(entry, "POST", "/services/bookings/b", client, { reference }, headers);
            if (response.status !== 201) return interpretFailure(response);
            const body = JSON.parse(response.body.toString()) as { reference: string; };
            if (body.reference !== reference) call.responseFault = "foreign";
            return { outcome: "success", interruption: "" };
        }
        const body = {
            model: "desk",
            stream: kind === "streamed",
            max_tokens: TOKENS_PER_REQUEST,
            messages: [{ role: "user", content: reference }],
        };
        const response = await sendToEntry(entry, "POST", "/v1/chat/completions", client, body);
        if (response.status !== 200) return interpretFailure(response);
        const text = response.body.toString();
        const isComplete = kind === "whole" || text.endsWith("data: [DONE]\n\n");
        if (!isComplete || text.includes("\"error\"")) {
            return { outcome: "unclear", interruption: "the stream ended with an error" };
        }
        call.responseFault = classifyResponse(text, reference, digests);
        return { outcome: "success", interruption: "" };
    }
    catch (error) {
        return provesNotSent(error) ?
            { outcome: "notRun", interruption: "" } :
            { outcome: "unclear", interruption: String(error) };
    }
}

function interpretFailure({ status, headers, body }: HttpResponse): AttemptResult {
    const verdict = headers["endivewell-verdict"];
    if (verdict === "notRun") return { outcome: "notRun", interruption: "" };
    return { outcome: "unclear", interruption: status === 409 ? "" : `${status} ${body.toString()}` };
}

/** Returns an empty string if the response has exactly the tokens that one version generates for this prompt. */
function classifyResponse(text: string, prompt: string, digests: readonly string[]): Call["responseFault"] {
    const tokens = text.match(/[0-9a-f]{12}\.\d+ /g) ?? [];
    const matching = digests.map(digest => {
        return tokens.filter((token, position) => token === expectedToken(digest, prompt, position)).length;
    });
    if (tokens.length === TOKENS_PER_REQUEST && matching.includes(TOKENS_PER_REQUEST)) return "";
    return matching.every(count => count === 0) ? "foreign" : "mixed";
}

interface InjectionOptions {
    readonly fleet: Fleet;
    readonly digests: readonly string[];
    readonly random: () => number;
    readonly intervals: FaultInterval[];
    readonly removedEntryPids: Set<number>;
    readonly isDone: () => boolean;
    /** Injects only process faults of this kind, one at a time. */
    readonly only: string | undefined;
}

/**
 * Injects process faults in rounds. In half of the rounds a second process fails, in half the environment also does.
 */
async function injectFaults(injection: InjectionOptions): Promise<void> {
    const { fleet, digests, random, intervals, isDone, only } = injection;
    let version = 0;
    for (let round = 0; !isDone(); round++) {
        const target = drawTarget(injection, round);
        const activeFaults = [createProcessFault(injection, target)];
        if (only === undefined && random() < 0.5) {
            const secondTarget = drawTarget(injection, Math.floor(random() * 3));
            if (secondTarget !== target) activeFaults.push(createProcessFault(injection, secondTarget));
        }
        if (only === undefined && random() < 0.5) activeFaults.push(createEnvironmentFault(fleet, random));
        const newIntervals = activeFaults.map(({ kind }) => ({ kind, start: Date.now(), end: Infinity }));
        intervals.push(...newIntervals);
        for (const fault of activeFaults) await fault.begin();
        await sleep(300 + random() * 1500);
        // The platform recovers first, because a restarted process must be registered in the VM list.
        for (const fault of activeFaults.reverse()) await fault.end();
        for (const interval of newIntervals) interval.end = Date.now() + FAULT_RECOVERY_MS;
        if (round % 4 === 3) {
            version = 1 - version;
            await changeProfile(fleet, digests[version] as string).catch(() => undefined);
        }
        await sleep(500 + random() * 1500);
    }
}

const PROCESS_FAULTS = ["kill", "pause", "stop", "longPause"] as const;

function drawTarget({ fleet, random }: InjectionOptions, groupIndex: number): FleetProcess {
    const groups = [fleet.bookingAgents, fleet.entries, fleet.modelAgents];
    const group = groups[groupIndex % groups.length] as FleetProcess[];
    return group[Math.floor(random() * group.length)] as FleetProcess;
}

function createProcessFault({ fleet, random, removedEntryPids, only }: InjectionOptions, target: FleetProcess): Fault {
    const kind = only ?? PROCESS_FAULTS[Math.floor(random() * PROCESS_FAULTS.length)] ?? "kill";
    const name = `${kind} ${target.vm.role}`;
    if (kind === "kill") {
        const begin = async () => target.signal("SIGKILL");
        return { kind: name, begin, end: async () => void await fleet.restart(target) };
    }
    if (kind === "stop") {
        let exited: Promise<unknown> | undefined;
        const begin = async () => {
            exited = target.stop(40_000);
            setTimeout(() => removedEntryPids.add(target.pid), LOAD_BALANCER_DELAY_MS);
        };
        const end = async () => {
            await exited;
            await fleet.restart(target);
        };
        return { kind: name, begin, end };
    }
    const end = async () => {
        // Longer than the keepalive timeout of the entries, so that they abandon their attempts.
        if (kind === "longPause") await sleep(8000);
        target.signal("SIGCONT");
    };
    return { kind: name, begin: async () => target.signal("SIGSTOP"), end };
}

function createEnvironmentFault(fleet: Fleet, random: () => number): Fault {
    const draw = random();
    if (draw < 0.2) return createSwitchFault("outage of the platform", fleet, fleet.platformUrl, { outage: true });
    if (draw < 0.4) {
        return createSwitchFault("lost answers of the platform", fleet, fleet.platformUrl, { loseAnswers: 0.3 });
    }
    if (draw < 0.6) {
        return createSwitchFault("lost answers of a service", fleet, fleet.bookingAgents[0]?.url ?? "", {
            loseAnswers: 0.3,
        });
    }
    if (draw < 0.75) {
        const modelAgent = fleet.modelAgents[Math.floor(random() * fleet.modelAgents.length)];
        return createSwitchFault("broken answers of an engine", fleet, modelAgent?.url ?? "", { breakAfterTokens: 3 });
    }
    const [a, b] = [REGIONS[Math.floor(random() * 3)], REGIONS[Math.floor(random() * 3)]];
    const cutState = random() < 0.5 ? "refuses" : "drops";
    const links = a === b ? REGIONS.filter(region => region !== a).map(region => [a, region]) : [[a, b]];
    const setLinkStates = async (state: string) => {
        for (const [from, to] of links) {
            const body = JSON.stringify({ a: from, b: to, state });
            await sendRequest({ method: "PUT", url: `${fleet.platformUrl}/links`, body });
        }
    };
    const kind = a === b ? `isolated region (${cutState})` : `cut link (${cutState})`;
    return { kind, begin: () => setLinkStates(cutState), end: () => setLinkStates("open") };
}

function createSwitchFault(
    kind: string,
    fleet: Fleet,
    url: string,
    faults: Readonly<Record<string, number | true>>,
): Fault {
    const resetSwitches = Object.fromEntries(
        Object.entries(faults).map(([name, value]) => [name, value === true ? false : 0]),
    );
    return { kind, begin: () => fleet.setFaults(url, faults), end: () => fleet.setFaults(url, resetSwitches) };
}

async function readRuns(fleet: Fleet): Promise<ReadonlyMap<string, number>> {
    const [agent] = fleet.bookingAgents;
    const response = await sendRequest({ method: "GET", url: `${agent?.url}/evidence` });
    return new Map(Object.entries(JSON.parse(response.body.toString()) as Record<string, number>));
}

function summarize(
    calls: readonly Call[],
    runs: ReadonlyMap<string, number>,
    interruptions: { readonly byDrain: readonly string[]; readonly withoutFault: readonly string[]; },
    intervals: readonly FaultInterval[],
    setting: Readonly<Record<string, number>>,
) {
    const bookings = calls.filter(({ kind }) => kind === "keyed" || kind === "keyless");
    const count = (list: readonly Call[], test: (call: Call, runCount: number) => boolean) => {
        return list.filter(call => test(call, runs.get(call.reference) ?? 0)).length;
    };
    const countByKind = (list: readonly string[]) => {
        return Object.fromEntries([...new Set(list)].map(kind => [kind, list.filter(each => each === kind).length]));
    };
    return {
        ...setting,
        calls: calls.length,
        callsByKind: countByKind(calls.map(({ kind }) => kind)),
        told: countByKind(calls.map(({ kind, outcome }) => `${kind} ${outcome}`)),
        faults: countByKind(intervals.map(({ kind }) => kind)),
        cuts: interruptions,
        violations: {
            doubled: count(bookings, (_call, runCount) => runCount > 1),
            lost: count(bookings, ({ outcome }, runCount) => outcome === "success" && runCount === 0),
            mixed: count(calls, ({ responseFault }) => responseFault === "mixed"),
            foreign: count(calls, ({ responseFault }) => responseFault === "foreign"),
            notRunButRan: count(bookings, ({ outcome }, runCount) => outcome === "notRun" && runCount > 0),
            cutByDrain: interruptions.byDrain.length,
        },
    };
}
