/**
 * Bench `config`: racing operators change profiles through separate entries while answers of the table
 * service are lost and the table has outages. It measures the time from the accepted answer until the last
 * process has the revision in force. Changes accepted within an outage, or less than 2 s before one, are
 * not part of the percentiles, because their propagation can fall into it.
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
import type { Figures } from "./bench.js";

const PROFILES = 6;
const LOST_ANSWERS = 0.1;
/** In turn: shorter and longer than the time that an entry tries to settle a change. */
const OUTAGES_MS = [3000, 10_000];
const OUTAGE_INTERVAL_MS = 20_000;
const SETTLE_MS = 2000;
const REPEAT_ONE_IN = 10;

interface Accepted {
    readonly changeId: string;
    readonly name: string;
    readonly revision: number;
    /** Revision of the profile that the change replaced; 0 for a new profile. */
    readonly replaced: number;
    readonly marker: string;
    readonly at: number;
}

interface Outage {
    readonly start: number;
    end: number;
}

interface Tally {
    readonly accepted: Accepted[];
    conflicts: number;
    unclear: number;
    refused: number;
    repeatsWithOtherRevision: number;
    /** Changes whose outcome the operator never learned. */
    unsettled: number;
}

export async function run(options: Readonly<Record<string, string>>): Promise<Figures> {
    const changes = Number(options.changes ?? 2000);
    const operators = Number(options.operators ?? 4);
    const seed = Number(options.seed ?? 1);
    const fleet = await startFleet({
        entries: operators,
        runners: Number(options.runners ?? 8),
        bookings: 3,
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

interface Load {
    readonly changes: number;
    readonly operators: number;
    readonly seed: number;
}

async function measure(fleet: Fleet, connections: Connections, load: Load): Promise<Figures> {
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
    let running = true;
    const startedAt = Date.now();
    await fleet.setFaults(fleet.platformUrl, { loseAnswers: LOST_ANSWERS });
    const faults = switchOutages(fleet, outages, () => running);
    await Promise.all(fleet.entries.map((entry, index) => operate(entry, index, rootDigest, load, tally)));
    const seconds = (Date.now() - startedAt) / 1000;
    running = false;
    await faults;
    await fleet.setFaults(fleet.platformUrl, { loseAnswers: 0, tableOutage: false });
    const last = Math.max(...tally.accepted.map(({ revision }) => revision));
    const processes = [...fleet.entries, ...fleet.runners, ...fleet.bookings];
    const views = await readViews(processes, connections, last);
    return summarize(tally, outages, views, await readRow(fleet), { seconds, load, processes: processes.length });
}

async function publishSmallVersion(fleet: Fleet): Promise<string> {
    const directory = join(fleet.directory, "weights");
    await mkdir(directory);
    await writeFile(join(directory, "model.bin"), randomBytes(1000));
    const store = createObjectStore({ url: fleet.platformUrl, timeoutMs: 5000 });
    return (await publishDirectory({ directory, model: "m", store })).rootDigest;
}

async function switchOutages(fleet: Fleet, outages: Outage[], running: () => boolean): Promise<void> {
    while (running()) {
        const next = Date.now() + OUTAGE_INTERVAL_MS;
        while (running() && Date.now() < next) await sleep(100);
        if (!running()) return;
        const outage = { start: Date.now(), end: Infinity };
        outages.push(outage);
        await fleet.setFaults(fleet.platformUrl, { tableOutage: true });
        await sleep(OUTAGES_MS[outages.length % OUTAGES_MS.length] ?? 0);
        await fleet.setFaults(fleet.platformUrl, { tableOutage: false });
        outage.end = Date.now();
    }
}

async function operate(
    entry: FleetProcess,
    index: number,
    rootDigest: string,
    load: Load,
    tally: Tally,
): Promise<void> {
    const generator = xoroshiro128plus(load.seed * 1000 + index);
    const seen = new Map<string, number>();
    const share = Math.ceil(load.changes / load.operators);
    for (let done = 0, tried = 0; done < share; tried++) {
        const name = `desk-${uniformInt(generator, 0, PROFILES - 1)}`;
        const changeId = `operator-${index}-${tried}`;
        const profile = { name, model: changeId, rootDigest, service: `pool-${name}` };
        const replaced = seen.get(name) ?? 0;
        const answer = await settle(entry, changeId, profile, replaced, tally);
        if (answer === undefined) return;
        if (answer.status === 412) {
            tally.conflicts++;
            const { current } = JSON.parse(answer.body.toString()) as { current: { revision: number; } | null; };
            seen.set(name, current?.revision ?? 0);
            continue;
        }
        if (answer.status !== 200) throw new Error(`the change was answered ${answer.status}: ${answer.body}`);
        done++;
        const at = Date.now();
        const { revision } = JSON.parse(answer.body.toString()) as { revision: number; };
        seen.set(name, revision);
        tally.accepted.push({ changeId, name, revision, replaced, marker: changeId, at });
        if (uniformInt(generator, 1, REPEAT_ONE_IN) === 1) {
            const again = await settle(entry, changeId, profile, replaced, tally);
            const same = again !== undefined && again.headers.etag === answer.headers.etag;
            if (!same) tally.repeatsWithOtherRevision++;
        }
        await sleep(uniformInt(generator, 0, 120));
    }
}

/** Sends the same change until its outcome is known. */
async function settle(
    entry: FleetProcess,
    changeId: string,
    profile: { name: string; },
    replaced: number,
    tally: Tally,
) {
    const headers: Record<string, string> = { "endivewell-change-id": changeId };
    if (replaced > 0) headers["if-match"] = `"${replaced}"`;
    for (let tries = 0; tries < 20; tries++) {
        const path = `/admin/v1/profiles/${profile.name}`;
        const answer = await sendToEntry(entry, "PUT", path, OPERATOR_TOKEN, profile, headers);
        if (answer.status !== 503) return answer;
        if (answer.headers["endivewell-verdict"] === "notRun") tally.refused++;
        else tally.unclear++;
    }
    tally.unsettled++;
    return undefined;
}

interface View {
    readonly process: string;
    readonly revisions: readonly { readonly revision: number; readonly at: number; }[];
}

async function readViews(processes: readonly FleetProcess[], connections: Connections, last: number): Promise<View[]> {
    const views: View[] = [];
    await waitUntil(`every process has revision ${last}`, async () => {
        views.splice(0, views.length, ...await Promise.all(processes.map(process => readView(process, connections))));
        return views.every(({ revisions }) => (revisions.at(-1)?.revision ?? 0) >= last);
    }, 15_000);
    return views;
}

function readView(process: FleetProcess, connections: Connections): Promise<View> {
    return new Promise((resolve, reject) => {
        const request = { subject: "configuration" };
        connections.node(process.vm.address).readEvents(request, (error, response) => {
            if (error !== null) return reject(error);
            resolve({ process: process.name, revisions: response.events.map(revisionOf) });
        });
    });
}

function revisionOf({ attributes, physicalMs }: Event) {
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

async function readRow(fleet: Fleet): Promise<StoredRow> {
    const url = `${fleet.platformUrl}/tables/configuration/current`;
    return await (await fetch(url)).json() as StoredRow;
}

function summarize(
    tally: Tally,
    outages: readonly Outage[],
    views: readonly View[],
    row: StoredRow,
    run: { seconds: number; load: Load; processes: number; },
): Figures {
    const times = build({ numberOfSignificantValueDigits: 3 });
    let excluded = 0;
    for (const change of tally.accepted) {
        if (outages.some(({ start, end }) => change.at > start - SETTLE_MS && change.at < end)) excluded++;
        else times.recordValue(Math.max(1, Math.round(inForceAt(views, change.revision) - change.at)));
    }
    const { accepted } = tally;
    return {
        changes: accepted.length,
        operators: run.load.operators,
        processes: run.processes,
        runSeconds: run.seconds,
        outages: outages.length,
        measured: accepted.length - excluded,
        excluded,
        p50Seconds: times.getValueAtPercentile(50) / 1000,
        p99Seconds: times.getValueAtPercentile(99) / 1000,
        maxSeconds: times.maxValue / 1000,
        conflicts: tally.conflicts,
        unclearAnswers: tally.unclear,
        refusedAnswers: tally.refused,
        unsettled: tally.unsettled,
        reverts: views.reduce((sum, view) => sum + countReverts(view), 0),
        lostAccepted: countLost(accepted, Object.values(row.profiles)),
        // Revisions of the row that no operator was told about.
        committedUnaccepted: row.revision - accepted.length,
        acceptedTwice: tally.repeatsWithOtherRevision + accepted.length -
            new Set(accepted.map(({ revision }) => revision)).size,
    };
}

/** Time at which the last process had the revision or a later one in force. */
function inForceAt(views: readonly View[], revision: number): number {
    return Math.max(...views.map(({ revisions }) => revisions.find(seen => seen.revision >= revision)?.at ?? Infinity));
}

function countReverts({ revisions }: View): number {
    return revisions.filter(({ revision }, index) => revision <= (revisions[index - 1]?.revision ?? 0)).length;
}

/** Counts accepted changes that neither the next accepted change of the profile nor the final row builds on. */
function countLost(accepted: readonly Accepted[], stored: readonly StoredProfile[]): number {
    const replaced = new Set(accepted.map(change => `${change.name} ${change.replaced}`));
    const final = new Set(stored.map(({ profile, revision }) => `${profile.name} ${revision} ${profile.model}`));
    return accepted.filter(({ name, revision, marker }) => {
        return !replaced.has(`${name} ${revision}`) && !final.has(`${name} ${revision} ${marker}`);
    }).length;
}
