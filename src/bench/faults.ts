/**
 * Bench `faults`: calls through several entries in three regions while processes are killed, paused, stopped
 * and restarted, two of them at once in half of the rounds, versions are switched, links between regions are
 * cut, the platform has outages, and the platform, services and engines lose answers. It compares what
 * callers were told with what the stand-in services and engines did. Every count under `violations` must be 0.
 *
 * `--runs N` makes N runs with consecutive seeds. Without `--seed` the first seed is fresh.
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
    OPERATOR_TOKEN,
    POOL,
    sendToEntry,
    startFleet,
    waitUntil,
    waitUntilServing,
} from "../harness/index.js";
import { createObjectStore, type HttpResponse, provesNotSent, sendRequest } from "../lib/clients/index.js";
import { publishDirectory } from "../lib/publish/index.js";
import { expectedToken } from "../lib/standIn/index.js";
import type { Bench } from "./bench.js";

type CallKind = "keyed" | "keyless" | "streamed" | "whole";
type Told = "success" | "notRun" | "unclear";

interface Call {
    readonly kind: CallKind;
    readonly reference: string;
    told: Told;
    /** An answer that isn't the answer to this call. */
    wrong: "" | "mixed" | "foreign";
}

/** A time in which a fault could cut calls, in milliseconds since the epoch. */
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

const TOKENS = 8;
const MAX_TRIES = 12;

/** Time that the callers' load balancer takes to notice that an entry fails `/readyz`. */
const LOAD_BALANCER_LAG_MS = 1000;

/** A fault still shows for this time after it has ended, for example in connections that are renewed. */
const AFTEREFFECT_MS = 1500;

const REGIONS = ["etela", "lansi", "pohjoinen"] as const;

/** 15 Mbit/s in each direction and 3 ms one way, as in docs/design.md, section 1.5. */
const REGION_LINKS = { bytesPerSecond: 15_000_000 / 8, latencyMs: 3 };

const FRESH_SEEDS = 2 ** 31;

export const run: Bench = async options => {
    const first = Number(options.seed ?? Date.now() % FRESH_SEEDS);
    const runs: Awaited<ReturnType<typeof runOnce>>[] = [];
    for (let seed = first; seed < first + Number(options.runs ?? 1); seed++) {
        const figures = await runOnce(options, seed);
        process.stderr.write(`seed ${seed}: ${JSON.stringify(figures.violations)}\n`);
        runs.push(figures);
    }
    const total = { ...runs[0]?.violations } as Record<string, number>;
    for (const { violations } of runs.slice(1)) {
        for (const [kind, count] of Object.entries(violations)) total[kind] = (total[kind] ?? 0) + count;
    }
    return { calls: runs.reduce((sum, { calls }) => sum + calls, 0), violations: total, runs };
};

async function runOnce(options: Parameters<Bench>[0], seed: number) {
    const total = Number(options.calls ?? 20_000);
    const entries = Number(options.entries ?? 3);
    const generator = xoroshiro128plus(seed);
    const random = () => uniformFloat64(generator);
    const fleet = await startFleet({
        entries,
        runners: 3,
        bookings: 3,
        seed,
        regions: REGIONS,
        regionLinks: REGION_LINKS,
        engine: { slots: 64, tokensPerSecond: 200 },
    });
    try {
        const digests = await publishVersions(fleet);
        const intervals: FaultInterval[] = [];
        const calls: Call[] = [];
        const cuts = { byDrain: [] as string[], withoutFault: [] as string[] };
        /** Process identifiers of the entries that the load balancer has taken out. */
        const leaving = new Set<number>();
        let done = false;

        async function callOnce(call: Call, entry: FleetProcess): Promise<Told> {
            const start = Date.now();
            const { told, cut } = await send(call, entry, digests);
            if (cut !== "") {
                const overlapping = intervals.filter(fault => fault.end >= start);
                const during = overlapping.map(({ kind }) => kind).join(", ");
                const text = `${call.kind} through ${entry.name} during ${during}: ${cut}`;
                if (overlapping.length === 0) cuts.withoutFault.push(text);
                else if (overlapping.every(({ kind }) => kind.startsWith("stop"))) {
                    cuts.byDrain.push(text);
                }
            }
            return told;
        }

        async function makeCall(): Promise<void> {
            const call: Call = { kind: drawKind(random()), reference: randomUUID(), told: "notRun", wrong: "" };
            calls.push(call);
            for (let tries = 0; tries < MAX_TRIES; tries++) {
                const ready = fleet.entries.filter(({ pid }) => !leaving.has(pid));
                const entry = ready[Math.floor(random() * ready.length)] as FleetProcess;
                const told = await callOnce(call, entry);
                // A caller combines its tries: one that may have run makes the whole call unclear.
                if (told === "success") call.told = "success";
                else if (told === "unclear") call.told = "unclear";
                if (told === "success" || (told === "unclear" && call.kind === "keyless")) return;
                await sleep(50 + 100 * tries);
            }
        }

        async function worker(): Promise<void> {
            while (calls.length < total) await makeCall();
        }

        const started = Date.now();
        const injected = injectFaults({
            fleet,
            digests,
            random,
            intervals,
            leaving,
            done: () => done,
            only: options.only,
        });
        await Promise.all(Array.from({ length: Number(options.workers ?? 40) }, worker));
        const seconds = (Date.now() - started) / 1000;
        done = true;
        await injected;
        // Claims and calls in progress settle before the evidence is read.
        await sleep(2000);
        const runs = await readRuns(fleet);
        return summarize(calls, runs, cuts, intervals, { seed, entries, seconds });
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
    await waitUntilServing(fleet, fleet.runners, digests[0] as string, 30_000);
    await waitUntil("the entries serve the profile", async () => {
        const answers = await Promise.all(fleet.entries.map(e => sendToEntry(e, "GET", "/v1/models", "client-0")));
        return answers.every(({ body }) => body.includes("desk"));
    }, 10_000);
    return digests;
}

async function changeProfile(fleet: Fleet, rootDigest: string): Promise<void> {
    const [entry] = fleet.entries;
    if (entry === undefined) return;
    const path = "/admin/v1/profiles/desk";
    const { headers } = await sendToEntry(entry, "GET", path, OPERATOR_TOKEN);
    const condition: Record<string, string> = headers.etag === undefined ? {} : { "if-match": headers.etag };
    const profile = { name: "desk", model: "m", rootDigest, service: POOL };
    await sendToEntry(entry, "PUT", path, OPERATOR_TOKEN, profile, condition);
}

interface Sent {
    readonly told: Told;
    /** How the call was cut off after it had been sent; empty if it was not. */
    readonly cut: string;
}

async function send(call: Call, entry: FleetProcess, digests: readonly string[]): Promise<Sent> {
    const { kind, reference } = call;
    const client = `client-${reference.charCodeAt(0) % 4}`;
    try {
        if (kind === "keyed" || kind === "keyless") {
            const headers: Record<string, string> = kind === "keyed" ? { "idempotency-key": reference } : {};
            const answer = await sendToEntry(entry, "POST", "/services/bookings/b", client, { reference }, headers);
            if (answer.status !== 201) return toldBy(answer);
            const body = JSON.parse(answer.body.toString()) as { reference: string; };
            if (body.reference !== reference) call.wrong = "foreign";
            return { told: "success", cut: "" };
        }
        const body = {
            model: "desk",
            stream: kind === "streamed",
            max_tokens: TOKENS,
            messages: [{ role: "user", content: reference }],
        };
        const answer = await sendToEntry(entry, "POST", "/v1/chat/completions", client, body);
        if (answer.status !== 200) return toldBy(answer);
        const text = answer.body.toString();
        const complete = kind === "whole" || text.endsWith("data: [DONE]\n\n");
        if (!complete || text.includes("\"error\"")) return { told: "unclear", cut: "the stream ended with an error" };
        call.wrong = classify(text, reference, digests);
        return { told: "success", cut: "" };
    }
    catch (error) {
        return provesNotSent(error) ? { told: "notRun", cut: "" } : { told: "unclear", cut: String(error) };
    }
}

function toldBy({ status, headers, body }: HttpResponse): Sent {
    const verdict = headers["endivewell-verdict"];
    if (verdict === "notRun") return { told: "notRun", cut: "" };
    return { told: "unclear", cut: status === 409 ? "" : `${status} ${body.toString()}` };
}

/** An answer must consist of exactly the tokens of one version for this prompt. */
function classify(text: string, prompt: string, digests: readonly string[]): Call["wrong"] {
    const tokens = text.match(/[0-9a-f]{12}\.\d+ /g) ?? [];
    const matching = digests.map(digest => {
        return tokens.filter((token, position) => token === expectedToken(digest, prompt, position)).length;
    });
    if (tokens.length === TOKENS && matching.includes(TOKENS)) return "";
    return matching.every(count => count === 0) ? "foreign" : "mixed";
}

interface Injection {
    readonly fleet: Fleet;
    readonly digests: readonly string[];
    readonly random: () => number;
    readonly intervals: FaultInterval[];
    readonly leaving: Set<number>;
    readonly done: () => boolean;
    /** Injects only process faults of this kind. */
    readonly only: string | undefined;
}

/** Injects process faults, each with a second one and with a fault of the surroundings in half of the cases. */
async function injectFaults(injection: Injection): Promise<void> {
    const { fleet, digests, random, intervals, done, only } = injection;
    let version = 0;
    for (let round = 0; !done(); round++) {
        const target = drawTarget(injection, round);
        const running = [processFault(injection, target)];
        if (only === undefined && random() < 0.5) {
            const second = drawTarget(injection, Math.floor(random() * 3));
            if (second !== target) running.push(processFault(injection, second));
        }
        if (only === undefined && random() < 0.5) running.push(surroundingFault(fleet, random));
        const noted = running.map(({ kind }) => ({ kind, start: Date.now(), end: Infinity }));
        intervals.push(...noted);
        for (const fault of running) await fault.begin();
        await sleep(300 + random() * 1500);
        // The platform recovers first, because a process that starts again must be listed.
        for (const fault of running.reverse()) await fault.end();
        for (const interval of noted) interval.end = Date.now() + AFTEREFFECT_MS;
        if (round % 4 === 3) {
            version = 1 - version;
            await changeProfile(fleet, digests[version] as string).catch(() => undefined);
        }
        await sleep(500 + random() * 1500);
    }
}

const PROCESS_FAULTS = ["kill", "pause", "stop", "longPause"] as const;

function drawTarget({ fleet, random }: Injection, round: number): FleetProcess {
    const groups = [fleet.bookings, fleet.entries, fleet.runners];
    const group = groups[round % groups.length] as FleetProcess[];
    return group[Math.floor(random() * group.length)] as FleetProcess;
}

function processFault({ fleet, random, leaving, only }: Injection, target: FleetProcess): Fault {
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
            setTimeout(() => leaving.add(target.pid), LOAD_BALANCER_LAG_MS);
        };
        const end = async () => {
            await exited;
            await fleet.restart(target);
        };
        return { kind: name, begin, end };
    }
    const end = async () => {
        // Longer than the keepalive of the entries, so that they abandon their attempts.
        if (kind === "longPause") await sleep(8000);
        target.signal("SIGCONT");
    };
    return { kind: name, begin: async () => target.signal("SIGSTOP"), end };
}

function surroundingFault(fleet: Fleet, random: () => number): Fault {
    const draw = random();
    if (draw < 0.2) return switched("outage of the platform", fleet, fleet.platformUrl, { outage: true });
    if (draw < 0.4) return switched("lost answers of the platform", fleet, fleet.platformUrl, { loseAnswers: 0.3 });
    if (draw < 0.6) {
        return switched("lost answers of a service", fleet, fleet.bookings[0]?.url ?? "", { loseAnswers: 0.3 });
    }
    if (draw < 0.75) {
        const runner = fleet.runners[Math.floor(random() * fleet.runners.length)];
        return switched("broken answers of an engine", fleet, runner?.url ?? "", { breakAfterTokens: 3 });
    }
    const [a, b] = [REGIONS[Math.floor(random() * 3)], REGIONS[Math.floor(random() * 3)]];
    const cut = random() < 0.5 ? "refuses" : "drops";
    const links = a === b ? REGIONS.filter(region => region !== a).map(region => [a, region]) : [[a, b]];
    const setLinks = async (state: string) => {
        for (const [from, to] of links) {
            const body = JSON.stringify({ a: from, b: to, state });
            await sendRequest({ method: "PUT", url: `${fleet.platformUrl}/links`, body });
        }
    };
    const kind = a === b ? `isolated region (${cut})` : `cut link (${cut})`;
    return { kind, begin: () => setLinks(cut), end: () => setLinks("open") };
}

function switched(kind: string, fleet: Fleet, url: string, faults: Readonly<Record<string, number | true>>): Fault {
    const off = Object.fromEntries(Object.entries(faults).map(([name, value]) => [name, value === true ? false : 0]));
    return { kind, begin: () => fleet.setFaults(url, faults), end: () => fleet.setFaults(url, off) };
}

async function readRuns(fleet: Fleet): Promise<ReadonlyMap<string, number>> {
    const [agent] = fleet.bookings;
    const answer = await sendRequest({ method: "GET", url: `${agent?.url}/evidence` });
    return new Map(Object.entries(JSON.parse(answer.body.toString()) as Record<string, number>));
}

function summarize(
    calls: readonly Call[],
    runs: ReadonlyMap<string, number>,
    cuts: { readonly byDrain: readonly string[]; readonly withoutFault: readonly string[]; },
    intervals: readonly FaultInterval[],
    setting: Readonly<Record<string, number>>,
) {
    const bookings = calls.filter(({ kind }) => kind === "keyed" || kind === "keyless");
    const count = (list: readonly Call[], test: (call: Call, ran: number) => boolean) => {
        return list.filter(call => test(call, runs.get(call.reference) ?? 0)).length;
    };
    const byKind = (list: readonly string[]) => {
        return Object.fromEntries([...new Set(list)].map(kind => [kind, list.filter(k => k === kind).length]));
    };
    return {
        ...setting,
        calls: calls.length,
        callsByKind: byKind(calls.map(({ kind }) => kind)),
        told: byKind(calls.map(({ kind, told }) => `${kind} ${told}`)),
        faults: byKind(intervals.map(({ kind }) => kind)),
        cuts,
        violations: {
            doubled: count(bookings, (_call, ran) => ran > 1),
            lost: count(bookings, ({ told }, ran) => told === "success" && ran === 0),
            mixed: count(calls, ({ wrong }) => wrong === "mixed"),
            foreign: count(calls, ({ wrong }) => wrong === "foreign"),
            notRunButRan: count(bookings, ({ told }, ran) => told === "notRun" && ran > 0),
            cutByDrain: cuts.byDrain.length,
        },
    };
}
