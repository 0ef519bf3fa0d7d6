/**
 * Distributes the configuration to all processes by polling and gossip. Keeps the highest revision that this process
 * has seen, never goes back to a lower one, and notifies listeners of each new one.
 *
 * In each failure domain the first `READER_COUNT` processes in rendezvous order poll the table. The others poll only
 * when no reader has confirmed the configuration for a while. A process that learns a revision announces it to its
 * gossip peers, which request the update from it. Each process also exchanges revisions with its peers in rotation
 * (anti-entropy). While a failure domain is evacuated, a process also has a peer in each other failure domain, because
 * an evacuation must reach all of them in seconds even if the table is lost right after it accepted the evacuation.
 *
 * Bandwidth with 50 profiles and 12,000 changes a day (0.14 a second): the row is 36 KB of JSON, 9.3 KB compressed, and
 * an update of one profile is 1.3 KB. A reader reads each changed row, 1.3 KB/s on average at that rate, and otherwise
 * polls twice a second and gets a response without a body. A process hears of a revision from several peers but fetches
 * and forwards its update about once, 0.4 KB/s in both directions together. An exchange without changes has no content
 * and runs once a second. HTTP and gRPC headers are not included.
 */
import { Metadata } from "@grpc/grpc-js";
import type { TableService, Vm } from "../clients/index.js";
import {
    applyUpdate,
    type Configuration,
    EMPTY_CONFIGURATION,
    newerConfiguration,
    orderMembers,
    parseConfiguration,
    positionOf,
    updateSince,
} from "../core/index.js";
import { createLog } from "../observability/index.js";
import type { Connections, SyncConfigurationRequest, SyncConfigurationResponse } from "../rpc/index.js";
import type { EventRecorder } from "./eventRecorder.js";
import { type PeriodicTask, startPeriodicTask } from "./periodicTask.js";

const log = createLog("node:configuration");

export const CONFIGURATION_TABLE = "configuration";
export const CONFIGURATION_KEY = "current";

/** Subject of the events that record when this process activated a revision. */
export const CONFIGURATION_SUBJECT = "configuration";

/** Number of processes in a failure domain that poll the table. One can fail without an interruption. */
const READER_COUNT = 2;

/** Readers rotate after this time, because one may use more than its 3 KB/s while it reads each changed row. */
const READER_TERM_MS = 60_000;

/** Number of processes that take over one after another when no reader confirms the configuration. */
const STANDBY_READER_COUNT = 6;

/** Age of the last confirmation at which the first standby reader polls; each further one waits this much longer. */
const STANDBY_DELAY_MS = 2000;

/** Age of the last confirmation at which every process polls, at a low rate, because its peers can't help it. */
const ISOLATED_AFTER_MS = 30_000;
const ISOLATED_POLL_INTERVAL_MS = 10_000;

/** Random gossip peers spread updates fast. One more peer, the next in a ring, ensures that updates reach all. */
const RANDOM_PEER_COUNT = 3;

const EXCHANGE_INTERVAL_MS = 1000;
const EXCHANGE_TIMEOUT_MS = 1000;

/** Interval at which the warning of a table that has lost revisions is repeated. */
const WARNING_INTERVAL_MS = 60_000;

export type ConfigurationListener = (configuration: Configuration) => void;

export interface ConfigurationSync extends PeriodicTask {
    readonly current: () => Configuration;
    /** Activates a snapshot that this process read or wrote itself if its revision is higher than the current one. */
    readonly applyIfNewer: (snapshot: Configuration) => void;
    /** Handles an exchange started by another process. */
    readonly handleExchange: (request: SyncConfigurationRequest) => SyncConfigurationResponse;
    /**
     * Reads the table now. Resolves to true if `current` then includes everything committed before the call, and to
     * false if the table is unavailable, or its row is invalid or older than a revision that was committed before.
     */
    readonly refresh: () => Promise<boolean>;
    /** Registers a listener that is called after each new revision. */
    readonly onChange: (listener: ConfigurationListener) => void;
    /**
     * Last time at which the table confirmed the current revision to this process or to a peer that reported it; 0 if
     * never.
     */
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
    /** Milliseconds since the epoch. */
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
    /** Entity tag and revision of the row that was read last; `undefined` if the next read is unconditional. */
    let knownRow: { readonly etag: string; readonly revision: number; } | undefined;
    let peerIndex = 0;
    /** Time of the last warning of a table that has lost revisions; 0 if the table has the current one. */
    let lostRevisionWarnedAt = 0;
    /** Highest revision that is being requested from a peer; 0 for none. */
    let requestedRevision = 0;

    function applyIfNewer(snapshot: Configuration): void {
        const newer = newerConfiguration(current, snapshot);
        if (newer === current) return;
        // A process or writer that doesn't know evacuations doesn't withdraw them.
        const before = current;
        current = { ...newer, evacuatedDomains: newer.evacuatedDomains ?? before.evacuatedDomains };
        events.record("configuration.inForce", CONFIGURATION_SUBJECT, { revision: current.revision });
        log.info("configuration revision %d is active", current.revision);
        for (const listener of listeners) listener(current);
        const remotePeers = remotePeersFor(current).length > 0 ? remotePeersFor(current) : remotePeersFor(before);
        for (const vm of [...gossipPeers(), ...remotePeers]) void exchangeWith(vm);
    }

    function recordConfirmation(time: number): void {
        confirmedAt = Math.max(confirmedAt, Math.min(time, now()));
    }

    /** Returns whether the table confirmed the revision that is now current. */
    async function poll(): Promise<boolean> {
        const startedAt = now();
        const committedRevision = current.revision;
        let tableRevision = knownRow?.revision ?? 0;
        polledAt = startedAt;
        const row = await table.read(CONFIGURATION_TABLE, CONFIGURATION_KEY, knownRow?.etag);
        if (row.kind === "unavailable") {
            // A table that was restored from a copy gives out entity tags again, with other content.
            knownRow = undefined;
            return false;
        }
        if (row.kind === "found") {
            const snapshot = parseConfiguration(row.value);
            if (snapshot === undefined) {
                log.warn("the configuration row in the table is invalid; keeping revision %d", current.revision);
                return false;
            }
            tableRevision = snapshot.revision;
            knownRow = { etag: row.etag, revision: tableRevision };
            applyIfNewer({ ...snapshot, changes: [] });
        }
        if (row.kind === "missing") tableRevision = 0;
        if (tableRevision < committedRevision) {
            warnOfLostRevision(tableRevision, committedRevision);
            return false;
        }
        lostRevisionWarnedAt = 0;
        recordConfirmation(startedAt);
        return true;
    }

    function warnOfLostRevision(tableRevision: number, committedRevision: number): void {
        if (lostRevisionWarnedAt !== 0 && now() - lostRevisionWarnedAt < WARNING_INTERVAL_MS) return;
        lostRevisionWarnedAt = now();
        log.warn(
            "the table has configuration revision %d, but revision %d was committed to it; keeping that one",
            tableRevision,
            committedRevision,
        );
    }

    function domainVms(): Vm[] {
        return options.vms().filter(vm => vm.failureDomain === options.failureDomain);
    }

    async function pollIfReader(): Promise<void> {
        const names = domainVms().map(vm => vm.name);
        const time = now();
        const position = positionOf(`configuration readers ${Math.floor(time / READER_TERM_MS)}`, process, names);
        if (shouldPoll(position, time - confirmedAt, time - polledAt)) await poll();
    }

    /** Returns the peers that this process exchanges revisions with; all of a small failure domain. */
    function gossipPeers(): Vm[] {
        const domainPeers = domainVms().filter(vm => vm.name !== process);
        if (domainPeers.length <= RANDOM_PEER_COUNT + 1) return domainPeers;
        const byName = new Map(domainPeers.map(vm => [vm.name, vm]));
        const ringNames = [...byName.keys(), process].sort();
        const nextName = ringNames[(ringNames.indexOf(process) + 1) % ringNames.length] ?? "";
        const randomNames = orderMembers(`neighbours of ${process}`, [...byName.keys()]).slice(0, RANDOM_PEER_COUNT);
        return [...new Set([nextName, ...randomNames])].flatMap(name => byName.get(name) ?? []);
    }

    /** Returns a peer in each other failure domain if any failure domain is evacuated. */
    function remotePeersFor({ evacuatedDomains = [] }: Configuration): Vm[] {
        if (evacuatedDomains.length === 0) return [];
        const byName = new Map(options.vms().map(vm => [vm.name, vm]));
        const domains = new Set([...byName.values()].map(vm => vm.failureDomain));
        domains.delete(options.failureDomain);
        const ordered = orderMembers(`remote peers of ${process}`, [...byName.keys()]).flatMap(n =>
            byName.get(n) ?? []
        );
        return [...domains].flatMap(domain => ordered.find(vm => vm.failureDomain === domain) ?? []);
    }

    /** Sends a peer the current revision and applies the update in its response. A failed call has no effect. */
    function exchangeWith(vm: Vm): Promise<void> {
        const startedAt = now();
        const request = { process, revision: current.revision, snapshot: "", ageMs: confirmationAgeAt(startedAt) };
        return new Promise(resolve => {
            const deadline = new Date(Date.now() + EXCHANGE_TIMEOUT_MS);
            connections.node(vm.address).syncConfiguration(request, new Metadata(), { deadline }, (error, response) => {
                if (error === null) {
                    applyReceivedUpdate(response.snapshot, vm.name, response.evacuated?.names);
                    if (response.revision === current.revision) recordConfirmation(startedAt - response.ageMs);
                }
                resolve();
            });
        });
    }

    function applyReceivedUpdate(snapshot: string, sender: string, evacuatedDomains?: readonly string[]): void {
        if (snapshot === "") return;
        const result = applyUpdate(current, parseJson(snapshot));
        if (result.kind === "adopted") applyIfNewer({ ...result.configuration, evacuatedDomains });
        if (result.kind === "invalid") {
            log.warn("rejected an invalid configuration update from %s: %s", sender, result.reason);
        }
    }

    function handleExchange(request: SyncConfigurationRequest): SyncConfigurationResponse {
        applyReceivedUpdate(request.snapshot, request.process);
        if (request.revision === current.revision) recordConfirmation(now() - request.ageMs);
        const isSenderBehind = current.revision > request.revision;
        if (request.revision > current.revision) requestUpdate(request.process, request.revision);
        return {
            revision: current.revision,
            snapshot: isSenderBehind ? JSON.stringify(updateSince(current, request.revision)) : "",
            ageMs: confirmationAgeAt(now()),
            evacuated: current.evacuatedDomains && { names: [...current.evacuatedDomains] },
        };
    }

    /** Several peers announce a revision at about the same time; only the first is asked for its update. */
    function requestUpdate(sender: string, revision: number): void {
        const vm = options.vms().find(candidate => candidate.name === sender);
        if (vm === undefined || revision <= requestedRevision) return;
        requestedRevision = revision;
        void exchangeWith(vm).finally(() => requestedRevision = 0);
    }

    async function exchangeWithNextPeer(): Promise<void> {
        const peers = [...gossipPeers(), ...remotePeersFor(current)];
        peerIndex = (peerIndex + 1) % Math.max(1, peers.length);
        const vm = peers[peerIndex];
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
        applyIfNewer,
        handleExchange,
        refresh: poll,
        onChange: listener => listeners.push(listener),
        confirmedAt: () => confirmedAt,
    };
}

/**
 * Returns whether a process polls the table now. `position` is its position in the rendezvous order of its failure
 * domain, or -1 if it isn't in the VM list yet; `ageMs` is the time since the last confirmation.
 */
export function shouldPoll(position: number, ageMs: number, sincePollMs: number): boolean {
    if (position >= 0 && position < READER_COUNT) return true;
    if (sincePollMs > ISOLATED_POLL_INTERVAL_MS && ageMs > ISOLATED_AFTER_MS) return true;
    if (position === -1) return sincePollMs > STANDBY_DELAY_MS;
    return position < READER_COUNT + STANDBY_READER_COUNT && ageMs > STANDBY_DELAY_MS * (position - READER_COUNT + 1);
}

/** A process without a configuration exchanges more often, so that it can serve soon after its start. */
function exchangePauseMs(current: Configuration, random: () => number): number {
    const intervalMs = current.revision === 0 ? EXCHANGE_INTERVAL_MS / 5 : EXCHANGE_INTERVAL_MS;
    return intervalMs * (0.75 + random() / 2);
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
