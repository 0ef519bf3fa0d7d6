/**
 * Benchmark `config`: propagation time of configuration changes. Concurrent operators change profiles through separate
 * entries while the table service loses responses and has outages. The time is measured from the response that accepts
 * a change until the last process applies the revision. Changes accepted during an outage, or less than 2 s before one,
 * are excluded from the percentiles, because the outage can delay their propagation.
 */
import { build } from "hdr-histogram-js";
import { randomBytes } from "node:crypto";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type Fleet, type FleetProcess, OPERATOR_TOKEN, sendToEntry, startFleet, waitUntil } from "../harness/index.js";
import { createObjectStore } from "../lib/clients/index.js";
import { publishDirectory } from "../lib/publish/index.js";
import { type Connections, createConnections, createCredentials, type Event } from "../lib/rpc/index.js";
import type { BenchResults } from "./bench.js";

const PROFILE_COUNT = 6;
const LOST_RESPONSE_FRACTION = 0.1;
/** Outage durations, used alternately: shorter and longer than the time for which an entry retries a change. */
const OUTAGES_MS = [3000, 10_000];
const OUTAGE_INTERVAL_MS = 20_000;
/** Changes accepted less than this time before an outage are excluded from the percentiles. */
const OUTAGE_MARGIN_MS = 2000;
/** One of so many accepted changes is sent again under the same change identifier, on average. */
const REPEAT_ONE_IN = 10;

interface AcceptedChange {
    readonly changeId: string;
    readonly name: string;
    readonly revision: number;
    /** Revision of the profile that the change replaced, or 0 for a new profile. */
    readonly replaced: number;
    /** Model name of the changed profile, unique for each change, by which the final row is checked. */
    readonly marker: string;
    readonly acceptedAt: number;
}

interface Outage {
    readonly start: number;
    end: number;
}

/** Accepted changes, and numbers of the other responses to operators. */
interface Tally {
    readonly accepted: AcceptedChange[];
    conflicts: number;
    unclear: number;
    refused: number;
    repeatsWithOtherRevision: number;
    /** Number of changes whose outcome remained unknown to the operator. */
    unsettled: number;
}

export async function run(options: Readonly<Record<string, string>>): Promise<BenchResults> {
    const changes = Number(options.changes ?? 2000);
    const operators = Number(options.operators ?? 4);
    const seed = Number(options.seed ?? 1);
    const fleet = await startFleet({
        entries: operators,
        modelAgentCount: Number(options.runners ?? 8),
        bookingAgentCount: 3,
        regions: ["etela", "lansi", "pohjoinen"],
        seed,
    });
    const connections = createConnections(createCredentials(undefined));
    try {
        return await measure(fleet, connections, { changes, operators, seed });
    }
    finally {
        connections.close();
        await fleet.stop();
    }
}

interface LoadOptions {
    readonly changes: number;
    readonly operators: number;
    readonly seed: number;
}

async function measure(fleet: Fleet, connections: Connections, load: LoadOptions): Promise<BenchResults> {
    const rootDigest = await publishSmallVersion(fleet);
    const tally: Tally = {
        accepted: [],
        conflicts: 0,
        unclear: 0,
        refused: 0,
        repeatsWithOtherRevision: 0,
        unsettled: 0,
    };
    const outages: Outage[] = [];
    let isRunning = true;
    const startedAt = Date.now();
    await fleet.setFaults(fleet.platformUrl, { loseAnswers: LOST_RESPONSE_FRACTION });
    const faults = injectOutages(fleet, outages, () => isRunning);
    await Promise.all(fleet.entries.map((entry, index) => runOperator(entry, index, rootDigest, load, tally)));
    const seconds = (Date.now() - startedAt) / 1000;
    isRunning = false;
    await faults;
    await fleet.setFaults(fleet.platformUrl, { loseAnswers: 0, tableOutage: false });
    const lastRevision = Math.max(...tally.accepted.map(({ revision }) => revision));
    const processes = [...fleet.entries, ...fleet.modelAgents, ...fleet.bookingAgents];
    const histories = await readRevisionHistories(processes, connections, lastRevision);
    return summarize(tally, outages, histories, await readConfigurationRow(fleet), {
        seconds,
        load,
        processes: processes.length,
    });
}

async function publishSmallVersion(fleet: Fleet): Promise<string> {
    const directory = join(fleet.directory, "weights");
    await mkdir(directory);
    await writeFile(join(directory, "model.bin"), randomBytes(1000));
    const store = createObjectStore({ url: fleet.platformUrl, timeoutMs: 5000 });
    return (await publishDirectory({ directory, model: "m", store })).rootDigest;
}

async function injectOutages(fleet: Fleet, outages: Outage[], isRunning: () => boolean): Promise<void> {
    while (isRunning()) {
        const nextOutageAt = Date.now() + OUTAGE_INTERVAL_MS;
        while (isRunning() && Date.now() < nextOutageAt) await sleep(100);
        if (!isRunning()) return;
        const outage = { start: Date.now(), end: Infinity };
        outages.push(outage);
        await fleet.setFaults(fleet.platformUrl, { tableOutage: true });
        await sleep(OUTAGES_MS[outages.length % OUTAGES_MS.length] ?? 0);
        await fleet.setFaults(fleet.platformUrl, { tableOutage: false });
        outage.end = Date.now();
    }
}

async function runOperator(
    entry: FleetProcess,
    index: number,
    rootDigest: string,
    load: LoadOptions,
    tally: Tally,
): Promise<void> {
    const generator = xoroshiro128plus(load.seed * 1000 + index);
    const lastRevisions = new Map<string, number>();
    const changesPerOperator = Math.ceil(load.changes / load.operators);
    for (let acceptedCount = 0, attempt = 0; acceptedCount < changesPerOperator; attempt++) {
        const name = `desk-${uniformInt(generator, 0, PROFILE_COUNT - 1)}`;
        const changeId = `operator-${index}-${attempt}`;
        const profile = { name, model: changeId, rootDigest, service: `pool-${name}` };
        const replaced = lastRevisions.get(name) ?? 0;
        const response = await sendUntilSettled(entry, changeId, profile, replaced, tally);
        if (response === undefined) return;
        if (response.status === 412) {
            tally.conflicts++;
            const { current } = JSON.parse(response.body.toString()) as { current: { revision: number; } | null; };
            lastRevisions.set(name, current?.revision ?? 0);
            continue;
        }
        if (response.status !== 200) throw new Error(`change ${changeId} failed: ${response.status} ${response.body}`);
        acceptedCount++;
        const acceptedAt = Date.now();
        const { revision } = JSON.parse(response.body.toString()) as { revision: number; };
        lastRevisions.set(name, revision);
        tally.accepted.push({ changeId, name, revision, replaced, marker: changeId, acceptedAt });
        if (uniformInt(generator, 1, REPEAT_ONE_IN) === 1) {
            const repeated = await sendUntilSettled(entry, changeId, profile, replaced, tally);
            const hasSameRevision = repeated !== undefined && repeated.headers.etag === response.headers.etag;
            if (!hasSameRevision) tally.repeatsWithOtherRevision++;
        }
        await sleep(uniformInt(generator, 0, 120));
    }
}

/** Sends the same change until its outcome is known. Returns `undefined` after 20 attempts without an outcome. */
async function sendUntilSettled(
    entry: FleetProcess,
    changeId: string,
    profile: { name: string; },
    replaced: number,
    tally: Tally,
) {
    const headers: Record<string, string> = { "endivewell-change-id": changeId };
    if (replaced > 0) headers["if-match"] = `"${replaced}"`;
    for (let attempt = 0; attempt < 20; attempt++) {
        const path = `/admin/v1/profiles/${profile.name}`;
        const response = await sendToEntry(entry, "PUT", path, OPERATOR_TOKEN, profile, headers);
        if (response.status !== 503) return response;
        if (response.headers["endivewell-verdict"] === "notRun") tally.refused++;
        else tally.unclear++;
    }
    tally.unsettled++;
    return undefined;
}

interface RevisionHistory {
    readonly process: string;
    readonly revisions: readonly { readonly revision: number; readonly at: number; }[];
}

async function readRevisionHistories(
    processes: readonly FleetProcess[],
    connections: Connections,
    lastRevision: number,
): Promise<RevisionHistory[]> {
    const histories: RevisionHistory[] = [];
    await waitUntil(`every process has revision ${lastRevision}`, async () => {
        histories.splice(
            0,
            histories.length,
            ...await Promise.all(processes.map(process => readRevisionHistory(process, connections))),
        );
        return histories.every(({ revisions }) => (revisions.at(-1)?.revision ?? 0) >= lastRevision);
    }, 15_000);
    return histories;
}

function readRevisionHistory(process: FleetProcess, connections: Connections): Promise<RevisionHistory> {
    return new Promise((resolve, reject) => {
        const request = { subject: "configuration" };
        connections.node(process.vm.address).readEvents(request, (error, response) => {
            if (error !== null) return reject(error);
            resolve({ process: process.name, revisions: response.events.map(toRevision) });
        });
    });
}

function toRevision({ attributes, physicalMs }: Event) {
    return { revision: (JSON.parse(attributes) as { revision: number; }).revision, at: physicalMs };
}

interface StoredProfile {
    readonly profile: { readonly name: string; readonly model: string; };
    readonly revision: number;
}

interface StoredRow {
    readonly revision: number;
    readonly profiles: Readonly<Record<string, StoredProfile>>;
}

async function readConfigurationRow(fleet: Fleet): Promise<StoredRow> {
    const url = `${fleet.platformUrl}/tables/configuration/current`;
    return await (await fetch(url)).json() as StoredRow;
}

function summarize(
    tally: Tally,
    outages: readonly Outage[],
    histories: readonly RevisionHistory[],
    row: StoredRow,
    run: { seconds: number; load: LoadOptions; processes: number; },
): BenchResults {
    const propagationMs = build({ numberOfSignificantValueDigits: 3 });
    let excludedCount = 0;
    for (const { acceptedAt, revision } of tally.accepted) {
        const isExcluded = outages.some(({ start, end }) => acceptedAt > start - OUTAGE_MARGIN_MS && acceptedAt < end);
        if (isExcluded) excludedCount++;
        else propagationMs.recordValue(Math.max(1, Math.round(appliedByAllAt(histories, revision) - acceptedAt)));
    }
    const { accepted } = tally;
    return {
        changes: accepted.length,
        operators: run.load.operators,
        processes: run.processes,
        runSeconds: run.seconds,
        outages: outages.length,
        measured: accepted.length - excludedCount,
        excluded: excludedCount,
        p50Seconds: propagationMs.getValueAtPercentile(50) / 1000,
        p99Seconds: propagationMs.getValueAtPercentile(99) / 1000,
        maxSeconds: propagationMs.maxValue / 1000,
        conflicts: tally.conflicts,
        unclearAnswers: tally.unclear,
        refusedAnswers: tally.refused,
        unsettled: tally.unsettled,
        reverts: histories.reduce((sum, history) => sum + countReverts(history), 0),
        lostAccepted: countLostChanges(accepted, Object.values(row.profiles)),
        // Number of committed revisions whose acceptance was reported to no operator.
        committedUnaccepted: row.revision - accepted.length,
        acceptedTwice: tally.repeatsWithOtherRevision + accepted.length -
            new Set(accepted.map(({ revision }) => revision)).size,
    };
}

/** Returns the time at which the last process applied the revision or a later one. */
function appliedByAllAt(histories: readonly RevisionHistory[], revision: number): number {
    return Math.max(
        ...histories.map(({ revisions }) => revisions.find(applied => applied.revision >= revision)?.at ?? Infinity),
    );
}

function countReverts({ revisions }: RevisionHistory): number {
    return revisions.filter(({ revision }, index) => revision <= (revisions[index - 1]?.revision ?? 0)).length;
}

/** Counts accepted changes that neither another accepted change replaced nor the final row contains. */
function countLostChanges(accepted: readonly AcceptedChange[], stored: readonly StoredProfile[]): number {
    const replacedProfiles = new Set(accepted.map(change => `${change.name} ${change.replaced}`));
    const finalProfiles = new Set(
        stored.map(({ profile, revision }) => `${profile.name} ${revision} ${profile.model}`),
    );
    return accepted.filter(({ name, revision, marker }) => {
        return !replacedProfiles.has(`${name} ${revision}`) && !finalProfiles.has(`${name} ${revision} ${marker}`);
    }).length;
}
