/**
 * Keeps the greatest configuration revision that this process has seen and tells listeners about each
 * new one. It never goes back to a smaller one.
 *
 * In each failure domain the first `READERS` processes in rendezvous order poll the table. Others poll
 * only when no reader has confirmed the configuration for a while. A process that learns a revision
 * tells its neighbours, which ask it for the update, and each process asks one neighbour in turn for what it
 * lacks.
 *
 * Bytes, with 50 profiles and 12,000 changes a day (0.14 a second): the row is 36 KB of JSON, 9.3 KB when
 * compressed, and an update of one profile 1.3 KB. A reader reads each changed row, 1.3 KB/s on average at
 * that rate, and otherwise polls for an answer without content twice a second. A process learns of a revision
 * from several neighbours but fetches and passes on its update about once, 0.4 KB/s both ways together. An
 * exchange without news has no content and runs once a second. Headers of HTTP and gRPC come on top.
 */
import { Metadata } from "@grpc/grpc-js";
import type { TableService, Vm } from "../clients/index.js";
import {
    applyUpdate,
    type Configuration,
    EMPTY_CONFIGURATION,
    newerConfiguration,
    parseConfiguration,
    rankMembers,
    rankOf,
    updateSince,
} from "../core/index.js";
import { createLog } from "../observability/index.js";
import type { Connections, SyncConfigurationRequest, SyncConfigurationResponse } from "../rpc/index.js";
import type { EventRecorder } from "./eventRecorder.js";
import { type PeriodicTask, startPeriodicTask } from "./periodicTask.js";

const log = createLog("node:configuration");

export const CONFIGURATION_TABLE = "configuration";
export const CONFIGURATION_KEY = "current";

/** Subject of the events that record when a revision came into force here. */
export const CONFIGURATION_SUBJECT = "configuration";

/** Processes of a failure domain that poll the table; one can fail without a pause. */
const READER_COUNT = 2;

/** The readers change after this time: one can need more than its 3 KB/s while it reads each changed row. */
const READER_TERM_MS = 60_000;

/** Processes that take over in turn when no reader confirms the configuration. */
const STANDBY_READER_COUNT = 6;

/** Age of the configuration at which the first substitute polls; each further one waits as much longer. */
const STANDBY_DELAY_MS = 2000;

/** Age at which every process polls, at a slow rate: its neighbours can't help it. */
const ISOLATED_AFTER_MS = 30_000;
const ISOLATED_POLL_INTERVAL_MS = 10_000;

/** Neighbours: the next process on a ring, which connects all of them, and random ones, which make it fast. */
const RANDOM_PEER_COUNT = 3;

const EXCHANGE_INTERVAL_MS = 1000;
const EXCHANGE_TIMEOUT_MS = 1000;

export type ConfigurationListener = (configuration: Configuration) => void;

export interface ConfigurationSync extends PeriodicTask {
    readonly current: () => Configuration;
    /** Adopts a snapshot that this process read or wrote itself if its revision is greater. */
    readonly offer: (snapshot: Configuration) => void;
    /** Handles an exchange that another process started. */
    readonly exchange: (request: SyncConfigurationRequest) => SyncConfigurationResponse;
    /** Reads the table now. Resolves to whether the table answered; nothing newer was committed before the call. */
    readonly refresh: () => Promise<boolean>;
    /** Calls the listener after each new revision. */
    readonly onChange: (listener: ConfigurationListener) => void;
    /** Last time at which the table confirmed the revision here or at a process that told this one; 0 if never. */
    readonly confirmedAt: () => number;
}

export interface ConfigurationSyncOptions {
    readonly process: string;
    readonly failureDomain: string;
    readonly table: TableService;
    readonly vms: () => readonly Vm[];
    readonly connections: Connections;
    readonly events: EventRecorder;
    readonly pollMs: number;
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

export function startConfigurationSync(options: ConfigurationSyncOptions): ConfigurationSync {
    const { connections, events, now, pollMs, process, random, table } = options;
    const listeners: ConfigurationListener[] = [];
    let current = EMPTY_CONFIGURATION;
    let confirmedAt = 0;
    let polledAt = 0;
    let etag: string | undefined;
    let peerIndex = 0;
    /** Greatest revision that this process is asking a neighbour for; 0 if it asks for none. */
    let requestedRevision = 0;

    function offer(snapshot: Configuration): void {
        const newer = newerConfiguration(current, snapshot);
        if (newer === current) return;
        current = newer;
        events.record("configuration.inForce", CONFIGURATION_SUBJECT, { revision: current.revision });
        log.info("revision %d is in force", current.revision);
        for (const listener of listeners) listener(current);
        for (const vm of gossipPeers()) void exchangeWith(vm);
    }

    function recordConfirmation(at: number): void {
        confirmedAt = Math.max(confirmedAt, Math.min(at, now()));
    }

    /** Returns whether the table confirmed the revision that is now in force. */
    async function poll(): Promise<boolean> {
        const startedAt = now();
        polledAt = startedAt;
        const read = await table.read(CONFIGURATION_TABLE, CONFIGURATION_KEY, etag);
        if (read.kind === "unavailable") return false;
        if (read.kind === "found") {
            const snapshot = parseConfiguration(read.value);
            if (snapshot === undefined) {
                log.warn("the configuration row is invalid; revision %d stays in force", current.revision);
                return false;
            }
            etag = read.etag;
            offer({ ...snapshot, changes: [] });
        }
        recordConfirmation(startedAt);
        return true;
    }

    function domainVms(): Vm[] {
        return options.vms().filter(vm => vm.failureDomain === options.failureDomain);
    }

    async function pollIfReader(): Promise<void> {
        const names = domainVms().map(vm => vm.name);
        const at = now();
        const rank = rankOf(`configuration readers ${Math.floor(at / READER_TERM_MS)}`, process, names);
        if (shouldPoll(rank, at - confirmedAt, at - polledAt)) await poll();
    }

    function gossipPeers(): Vm[] {
        const others = domainVms().filter(vm => vm.name !== process);
        if (others.length <= RANDOM_PEER_COUNT + 1) return others;
        const byName = new Map(others.map(vm => [vm.name, vm]));
        const ring = [...byName.keys(), process].sort();
        const next = ring[(ring.indexOf(process) + 1) % ring.length] ?? "";
        const random = rankMembers(`neighbours of ${process}`, [...byName.keys()]).slice(0, RANDOM_PEER_COUNT);
        return [...new Set([next, ...random])].flatMap(name => byName.get(name) ?? []);
    }

    /** Tells a neighbour the own revision and adopts what it answers. */
    function exchangeWith(vm: Vm): Promise<void> {
        const startedAt = now();
        const request = { process, revision: current.revision, snapshot: "", ageMs: confirmationAgeAt(startedAt) };
        return new Promise(resolve => {
            const deadline = new Date(Date.now() + EXCHANGE_TIMEOUT_MS);
            connections.node(vm.address).syncConfiguration(request, new Metadata(), { deadline }, (error, response) => {
                if (error === null) {
                    applyReceivedUpdate(response.snapshot, vm.name);
                    if (response.revision === current.revision) recordConfirmation(startedAt - response.ageMs);
                }
                resolve();
            });
        });
    }

    function applyReceivedUpdate(snapshot: string, sender: string): void {
        if (snapshot === "") return;
        const result = applyUpdate(current, parseJson(snapshot));
        if (result.kind === "adopted") offer(result.configuration);
        if (result.kind === "invalid") log.warn("dropped an update from %s: %s", sender, result.reason);
    }

    function exchange(request: SyncConfigurationRequest): SyncConfigurationResponse {
        applyReceivedUpdate(request.snapshot, request.process);
        if (request.revision === current.revision) recordConfirmation(now() - request.ageMs);
        const newer = current.revision > request.revision;
        if (request.revision > current.revision) requestUpdate(request.process, request.revision);
        return {
            revision: current.revision,
            snapshot: newer ? JSON.stringify(updateSince(current, request.revision)) : "",
            ageMs: confirmationAgeAt(now()),
        };
    }

    /** Several neighbours tell of a revision at about the same time; its update is fetched from the first. */
    function requestUpdate(name: string, revision: number): void {
        const vm = domainVms().find(known => known.name === name);
        if (vm === undefined || revision <= requestedRevision) return;
        requestedRevision = revision;
        void exchangeWith(vm).finally(() => requestedRevision = 0);
    }

    async function exchangeWithNextPeer(): Promise<void> {
        const known = gossipPeers();
        peerIndex = (peerIndex + 1) % Math.max(1, known.length);
        const vm = known[peerIndex];
        if (vm !== undefined) await exchangeWith(vm);
    }

    function confirmationAgeAt(time: number): number {
        return Math.max(0, time - confirmedAt);
    }

    const polling = startPeriodicTask(pollIfReader, () => pollMs * (0.75 + random() / 2));
    const exchanging = startPeriodicTask(exchangeWithNextPeer, () => exchangePauseMs(current, random));
    return {
        stop: async () => void await Promise.all([polling.stop(), exchanging.stop()]),
        current: () => current,
        offer,
        exchange,
        refresh: poll,
        onChange: listener => listeners.push(listener),
        confirmedAt: () => confirmedAt,
    };
}

/** Decides whether a process polls now. `rank` is -1 for a process that isn't in the VM list yet. */
export function shouldPoll(rank: number, ageMs: number, sincePollMs: number): boolean {
    if (rank >= 0 && rank < READER_COUNT) return true;
    if (sincePollMs > ISOLATED_POLL_INTERVAL_MS && ageMs > ISOLATED_AFTER_MS) return true;
    if (rank === -1) return sincePollMs > STANDBY_DELAY_MS;
    return rank < READER_COUNT + STANDBY_READER_COUNT && ageMs > STANDBY_DELAY_MS * (rank - READER_COUNT + 1);
}

/** A process without any configuration asks more often, so that it serves soon after its start. */
function exchangePauseMs(current: Configuration, random: () => number): number {
    const interval = current.revision === 0 ? EXCHANGE_INTERVAL_MS / 5 : EXCHANGE_INTERVAL_MS;
    return interval * (0.75 + random() / 2);
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
