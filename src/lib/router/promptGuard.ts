/**
 * Keeps requests with quarantined parts of prompts from backend servers. Detects crashes of servers by failed attempts,
 * and exchanges them and the survivals of implicated parts with the other entries.
 */
import MurmurHash3 from "imurmurhash";
import { positionOf } from "../core/rendezvous.js";
import {
    type BackendServer,
    createPromptQuarantine,
    dropOldest,
    type EntryIdentity,
    type ImplicatedPrompt,
    type PromptDecision,
    type QuarantineReport,
    type SurvivalReport,
} from "../core/serving/index.js";
import { refusesConnections } from "../node/connectCheck.js";
import type { CrashNotification, SurvivalNotification } from "../node/peerMessages.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import type { CallerRequest } from "../platform/index.js";
import { MAX_LOGGED_PARTS } from "./localResponses.js";

export interface PromptGuardOptions {
    readonly self: EntryIdentity;
    readonly liveEntries: () => readonly EntryIdentity[];
    /** Returns the lowest version of the weights that may answer requests of the service. */
    readonly weightsVersion: (service: string, now: number) => number;
    /** Returns the server if it is registered and isn't leaving, so that its end would be a crash. */
    readonly findServing: (serverId: string, startedAt: number) => BackendServer | undefined;
    /** Called once when a server has crashed. */
    readonly onCrash: (server: BackendServer) => void;
    /** Send a message to all live entries or to one of them. Messages may be lost. */
    readonly broadcast: (message: CrashNotification | SurvivalNotification) => void;
    readonly send: (message: SurvivalNotification, ip: string) => void;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
}

export interface PromptGuard {
    /** Decides whether a request may be sent to a server of the service. */
    decide(caller: CallerRequest, service: string): PromptDecision;
    /**
     * Decides as `decide` does, for a request that is sent now. `endAttempt` must be called when its attempt ends.
     */
    begin(caller: CallerRequest, service: string): PromptDecision;
    /** Returns whether the request may be sent to another server as far as is known, without a check of its server. */
    mayRepeat(caller: CallerRequest, service: string): boolean;
    /** Records the end of a probe, if the request was one. */
    endAttempt(caller: CallerRequest, service: string, mayHaveRun: boolean): void;
    /**
     * Calls back, at most once, when a part of the request's prompt is quarantined. Returns a function that ends this.
     */
    onRefusal(caller: CallerRequest, service: string, callback: (retryAfterMs: number) => void): () => void;
    /** Records that the request's answer goes on after its start, so its prompt doesn't crash servers. */
    recordSurvival(caller: CallerRequest, service: string): void;
    /**
     * Checks whether the server has crashed, which implicates the request's prompt. `mayHaveRun` is false if the server
     * can't have started the request. Resolves with whether the request may be sent to another server.
     */
    examineFailure(caller: CallerRequest, server: BackendServer, mayHaveRun: boolean): Promise<boolean>;
    handleCrash(message: CrashNotification): void;
    handleSurvivals(message: SurvivalNotification): void;
    /** Returns the quarantines for a heartbeat. */
    reports(): QuarantineReport[];
    /** Merges the quarantines of the entry with the IP address. */
    mergeReports(reports: readonly QuarantineReport[], ip: string): void;
}

/** Prompts that are recorded for one crash. */
const MAX_PROMPTS = 64;

/** Crashes that are remembered so that each is acted on once. */
const MAX_KNOWN_CRASHES = 1024;

/** Messages must fit into a datagram; a part takes up to about 150 bytes. */
const MAX_PARTS_PER_MESSAGE = 256;
const MAX_SURVIVALS_PER_MESSAGE = 256;

/** Prompts with a part that the report of a crash names; two are sufficient to tell that several have it. */
const REPORTED_PROMPTS_PER_PART = 2;

/** Bounds the messages about one crash, as links between regions are narrow. Parts that aren't known to survive go first. */
const MAX_REPORTED_PARTS_PER_CRASH = 8192;

/** If further messages about a crash don't arrive within this time, in milliseconds, they are lost. */
const MAX_CONTINUATION_MS = 200;

interface CrashCheck {
    readonly prompts: ImplicatedPrompt[];
    readonly isDone: Promise<void>;
}

/** A crash of which further messages are to come. */
interface PartialCrash {
    readonly message: CrashNotification;
    readonly prompts: ImplicatedPrompt[];
    readonly receivedAt: number;
    readonly timer: NodeJS.Timeout;
}

interface WaitingRequest {
    readonly onRefused: () => void;
}

export function createPromptGuard(options: PromptGuardOptions): PromptGuard {
    const { log, metrics, now } = options;
    const waitingRequests = new Set<WaitingRequest>();
    /** Running checks by the server's incarnation. */
    const checks = new Map<string, CrashCheck>();
    const partialCrashes = new Map<string, PartialCrash>();
    /** Incarnations whose crash this entry has seen or is checking after a message. */
    const knownCrashes = new Map<string, true>();
    /** The parts of requests by service; a prompt may have thousands. */
    const partsByCaller = new WeakMap<CallerRequest, Map<string, readonly string[]>>();
    /** Requests that were sent as probes, with the quarantined part. */
    const probes = new WeakMap<CallerRequest, string>();

    const quarantine = createPromptQuarantine({
        probePosition: part => {
            const names = options.liveEntries().map(({ name }) => name);
            return positionOf(`probe ${part}`, options.self.name, names);
        },
        onQuarantined: (part, crashCount) => {
            log.warn("prompt part quarantined", { part, crashes: crashCount });
            metrics.quarantines.inc({ change: crashCount === undefined ? "reported" : "quarantined" });
            for (const { onRefused } of waitingRequests) onRefused();
        },
        onReleased: part => {
            log.warn("prompt part released", { part });
            metrics.quarantines.inc({ change: "released" });
        },
    });

    /** Parts count per service: the model of another service may answer the same prompt. */
    function partsOf(caller: CallerRequest, service: string): readonly string[] {
        if (caller.sharedPromptParts.length === 0) return [];
        const partsByService = partsByCaller.get(caller) ?? new Map<string, readonly string[]>();
        partsByCaller.set(caller, partsByService);
        const parts = partsByService.get(service) ??
            [...new Set(caller.sharedPromptParts)].map(part => `${service} ${part}`);
        partsByService.set(service, parts);
        return parts;
    }

    function decide(caller: CallerRequest, service: string): PromptDecision {
        const at = now();
        return quarantine.decide(partsOf(caller, service), options.weightsVersion(service, at), at);
    }

    function begin(caller: CallerRequest, service: string): PromptDecision {
        const decision = decide(caller, service);
        if (decision.kind === "probe") {
            quarantine.startProbe(decision.part, now());
            probes.set(caller, decision.part);
            log.warn("prompt part probed", { part: decision.part, id: caller.id });
            metrics.quarantines.inc({ change: "probed" });
        }
        return decision;
    }

    function endAttempt(caller: CallerRequest, service: string, mayHaveRun: boolean): void {
        const part = probes.get(caller);
        if (part === undefined) return;
        probes.delete(caller);
        quarantine.endProbe(part, mayHaveRun, options.weightsVersion(service, now()), now());
    }

    function onRefusal(
        caller: CallerRequest,
        service: string,
        callback: (retryAfterMs: number) => void,
    ): () => void {
        const parts = partsOf(caller, service);
        if (parts.length === 0) return () => undefined;
        const onRefused = () => {
            const decision = decide(caller, service);
            if (decision.kind !== "refused") return;
            waitingRequests.delete(waiting);
            callback(decision.retryAfterMs);
        };
        const waiting: WaitingRequest = { onRefused };
        waitingRequests.add(waiting);
        return () => void waitingRequests.delete(waiting);
    }

    async function examineFailure(caller: CallerRequest, server: BackendServer, mayHaveRun: boolean): Promise<boolean> {
        const { service } = server;
        const parts = partsOf(caller, service);
        if (parts.length === 0) return true;
        if (mayHaveRun && options.findServing(server.id, server.startedAt) !== undefined) {
            await checkForCrash(server, { id: promptIdOf(caller), parts });
        }
        const at = now();
        return !mayHaveRun || quarantine.mayRepeat(parts, at);
    }

    /** All attempts that a crash ended share one check. */
    function checkForCrash(server: BackendServer, prompt: ImplicatedPrompt): Promise<void> {
        const incarnation = incarnationOf(server.id, server.startedAt);
        const running = checks.get(incarnation);
        if (running !== undefined) {
            if (running.prompts.length < MAX_PROMPTS) running.prompts.push(prompt);
            return running.isDone;
        }
        const prompts = [prompt];
        const failedAt = now();
        const isDone = refusesConnections(server.address).then(isRefused => {
            checks.delete(incarnation);
            if (isRefused) recordCrash(server, prompts, failedAt);
        });
        checks.set(incarnation, { prompts, isDone });
        return isDone;
    }

    function recordCrash(server: BackendServer, prompts: readonly ImplicatedPrompt[], failedAt: number): void {
        const at = now();
        const { id: serverId, startedAt } = server;
        if (rememberCrash(incarnationOf(serverId, startedAt))) options.onCrash(server);
        const allParts = [...new Set(prompts.flatMap(({ parts }) => parts))];
        log.warn("server crashed", {
            server: serverId,
            requests: prompts.length,
            sharedPromptParts: allParts.slice(0, MAX_LOGGED_PARTS),
            sharedPromptPartCount: allParts.length,
        });
        const weightsVersion = options.weightsVersion(server.service, at);
        const groups = groupByPartCount(selectReported(prompts), MAX_PARTS_PER_MESSAGE);
        for (const [index, group] of groups.entries()) {
            options.broadcast({
                kind: "crash",
                ip: options.self.ip,
                serverId,
                startedAt,
                ageMs: at - failedAt,
                weightsVersion,
                prompts: group.map(({ id, parts }) => ({ id, parts: [...parts] })),
                ...index < groups.length - 1 && { isContinued: true },
            });
        }
        const crash = { incarnation: incarnationOf(serverId, startedAt), prompts };
        announce(quarantine.recordCrash(crash, weightsVersion, failedAt, at));
    }

    /**
     * Leaves out most repetitions of parts that many prompts have. Those of a quarantine stay, because it is told by its
     * parts in one prompt.
     */
    function selectReported(prompts: readonly ImplicatedPrompt[]): ImplicatedPrompt[] {
        const counts = new Map<string, number>();
        const selected = prompts.map(({ id, parts }) => {
            const reported = parts.filter(part => {
                const count = counts.get(part) ?? 0;
                counts.set(part, count + 1);
                return count < REPORTED_PROMPTS_PER_PART || quarantine.isQuarantined(part);
            });
            return { id, parts: reported };
        });
        const reportedCount = selected.reduce((sum, { parts }) => sum + parts.length, 0);
        if (reportedCount <= MAX_REPORTED_PARTS_PER_CRASH) return selected;
        let remaining = MAX_REPORTED_PARTS_PER_CRASH;
        const take = (parts: readonly string[]) => {
            const taken = parts.slice(0, remaining);
            remaining -= taken.length;
            return taken;
        };
        const at = now();
        const isKnown = (part: string) => quarantine.isKnownToSurvive(part, at);
        const unknownParts = selected.map(({ parts }) => take(parts.filter(part => !isKnown(part))));
        return selected.map(({ id, parts }, index) => ({
            id,
            parts: [...unknownParts[index] ?? [], ...take(parts.filter(isKnown))],
        }));
    }

    /** Returns false if the crash is known already. */
    function rememberCrash(incarnation: string): boolean {
        if (knownCrashes.has(incarnation)) return false;
        knownCrashes.set(incarnation, true);
        dropOldest(knownCrashes, MAX_KNOWN_CRASHES);
        return true;
    }

    /** Checks a crash that another entry reports, because only the path of that entry to the server may be broken. */
    async function confirmCrash(serverId: string, startedAt: number): Promise<void> {
        const server = options.findServing(serverId, startedAt);
        const incarnation = incarnationOf(serverId, startedAt);
        if (server === undefined || !rememberCrash(incarnation)) return;
        if (await refusesConnections(server.address)) options.onCrash(server);
        else knownCrashes.delete(incarnation);
    }

    /** A crash with many parts comes in several messages, and is judged by all of them together. */
    function handleCrash(message: CrashNotification): void {
        const { serverId, startedAt, isContinued = false } = message;
        const key = `${message.ip} ${incarnationOf(serverId, startedAt)}`;
        const partial = partialCrashes.get(key);
        if (partial === undefined && isContinued) {
            const timer = setTimeout(() => finishPartialCrash(key), MAX_CONTINUATION_MS).unref();
            partialCrashes.set(key, { message, prompts: [...message.prompts], receivedAt: now(), timer });
        }
        else if (partial === undefined) applyCrash(message, message.prompts, now());
        else {
            partial.prompts.push(...message.prompts);
            if (!isContinued) finishPartialCrash(key);
        }
    }

    function finishPartialCrash(key: string): void {
        const partial = partialCrashes.get(key);
        if (partial === undefined) return;
        clearTimeout(partial.timer);
        partialCrashes.delete(key);
        applyCrash(partial.message, joinPrompts(partial.prompts), partial.receivedAt);
    }

    function applyCrash(message: CrashNotification, prompts: readonly ImplicatedPrompt[], receivedAt: number): void {
        const { serverId, startedAt, weightsVersion, ageMs, ip } = message;
        void confirmCrash(serverId, startedAt);
        const crash = { incarnation: incarnationOf(serverId, startedAt), prompts };
        reply(quarantine.recordCrash(crash, weightsVersion, receivedAt - ageMs, now()), ip);
    }

    function announce(
        survivals: readonly SurvivalReport[],
        send: (message: SurvivalNotification) => void = options.broadcast,
    ): void {
        for (let first = 0; first < survivals.length; first += MAX_SURVIVALS_PER_MESSAGE) {
            send({ kind: "survivals", survivals: survivals.slice(first, first + MAX_SURVIVALS_PER_MESSAGE) });
        }
    }

    /** Only the sender gets a reply: most entries know about the same survivals. */
    const reply = (survivals: readonly SurvivalReport[], ip: string) =>
        announce(survivals, message => options.send(message, ip));

    return {
        decide,
        begin,
        mayRepeat: (caller, service) => quarantine.mayRepeat(partsOf(caller, service), now()),
        endAttempt,
        onRefusal,
        recordSurvival: (caller, service) => announce(quarantine.recordSurvival(partsOf(caller, service), now())),
        examineFailure,
        handleCrash,
        handleSurvivals: ({ survivals }) => quarantine.mergeSurvivals(survivals, now()),
        reports: () => quarantine.reports(now()),
        mergeReports: (reports, ip) => reply(quarantine.mergeReports(reports, now()), ip),
    };
}

/** Divides prompts into groups with at most `maxCount` parts together. A longer prompt is divided itself. */
function groupByPartCount(prompts: readonly ImplicatedPrompt[], maxCount: number): ImplicatedPrompt[][] {
    const groups: ImplicatedPrompt[][] = [];
    let partCount = Number.POSITIVE_INFINITY;
    for (const { id, parts } of prompts) {
        for (let first = 0; first < parts.length; first += maxCount) {
            const someParts = parts.slice(first, first + maxCount);
            partCount += someParts.length;
            if (partCount > maxCount) {
                groups.push([]);
                partCount = someParts.length;
            }
            groups.at(-1)?.push({ id, parts: someParts });
        }
    }
    return groups;
}

/** Joins the parts of each prompt. */
function joinPrompts(prompts: readonly ImplicatedPrompt[]): ImplicatedPrompt[] {
    const partsById = new Map<number, Set<string>>();
    for (const { id, parts } of prompts) {
        const joined = partsById.get(id) ?? new Set<string>();
        partsById.set(id, joined);
        for (const part of parts) joined.add(part);
    }
    return [...partsById].map(([id, parts]) => ({ id, parts: [...parts] }));
}

function incarnationOf(serverId: string, startedAt: number): string {
    return `${serverId} ${startedAt}`;
}

function promptIdOf({ sharedPromptParts, ownPromptPart }: CallerRequest): number {
    return MurmurHash3([...sharedPromptParts, ownPromptPart].join(","), 0).result();
}
