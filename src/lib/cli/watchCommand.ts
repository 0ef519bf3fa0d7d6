/** `endivewell watch`: follows the rollout of a profile's version until every replica serves it. */
import { Args, Flags } from "@oclif/core";
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import type { Profile } from "../core/index.js";
import type { AgentState, TransferState } from "../rpc/index.js";
import { ExitCode } from "./exitCode.js";
import { entryFlags, expectSuccess, OperatorCommand } from "./operatorCommand.js";
import { bytesReceived, isInEvacuatedDomain, replicaPhase, type SystemStatus } from "./systemStatus.js";

const POLL_INTERVAL_MS = 500;
const BYTES_PER_MB = 1_000_000;

/** Progress of one replica. Rates and estimates are 0 until a later report differs from the first. */
export interface ReplicaProgress {
    readonly process: string;
    readonly phase: string;
    /** Whether the replica's failure domain is evacuated, so that it loads the version but gets no work. */
    readonly evacuated: boolean;
    readonly chunksHeld: number;
    readonly chunksTotal: number;
    readonly bytesFromOrigin: number;
    readonly bytesFromDomain: number;
    readonly bytesFromRegion: number;
    readonly bytesFromOtherRegions: number;
    readonly bytesPerSecond: number;
    readonly remainingSeconds: number;
    readonly error: string;
}

interface FirstReport {
    readonly receivedAtMs: number;
    readonly bytes: number;
    readonly chunks: number;
}

export class WatchCommand extends OperatorCommand {
    static override readonly summary = "Follow a rollout until every replica serves the profile's version.";
    static override readonly description =
        "Prints a line for each replica whenever its progress changes. Bytes are counted by source: origin, same failure" +
        " domain, same region, other regions. Ends with exit code 1 if the rollout takes longer than --timeout.";
    static override readonly examples = [
        "<%= config.bin %> watch repair",
        "<%= config.bin %> watch repair --timeout 120 --json",
    ];
    static override readonly args = { profile: Args.string({ description: "Name of the profile.", required: true }) };
    static override readonly flags = {
        ...entryFlags,
        timeout: Flags.integer({ summary: "Seconds until the command gives up.", default: 3600, min: 1 }),
    };

    async run() {
        const { args, flags } = await this.parse(WatchCommand);
        const client = this.createClient(flags);
        const startedAtMs = Date.now();
        const firstReports = new Map<string, FirstReport>();
        const lastLines = new Map<string, string>();
        for (;;) {
            const path = `/profiles/${encodeURIComponent(args.profile)}`;
            const profile = expectSuccess(await client.get(path)) as Profile;
            const status = expectSuccess(await client.get("/status")) as SystemStatus;
            const states = status.agents.flatMap(({ state }) => state ?? [])
                .filter(state => state.service === profile.service && state.kind === "model");
            const replicas = states.map(state => ({
                ...progressOf(state, profile.rootDigest, firstReports, Date.now()),
                evacuated: isInEvacuatedDomain(status, state),
            }));
            for (const replica of replicas) this.logIfChanged(replica, lastLines);
            const seconds = (Date.now() - startedAtMs) / 1000;
            const servingCount = replicas.filter(replica => replica.phase === "serving").length;
            if (replicas.length > 0 && servingCount === replicas.length) {
                this.log(`${servingCount} replicas serve ${profile.rootDigest} after ${seconds.toFixed(1)} s`);
                return { rootDigest: profile.rootDigest, seconds, replicas };
            }
            if (seconds > flags.timeout) throw timeoutError(servingCount, replicas);
            await sleep(POLL_INTERVAL_MS);
        }
    }

    private logIfChanged(replica: ReplicaProgress, lastLines: Map<string, string>): void {
        const line = formatReplica(replica);
        if (lastLines.get(replica.process) === line) return;
        lastLines.set(replica.process, line);
        this.log(line);
    }
}

function progressOf(
    state: AgentState,
    rootDigest: string,
    firstReports: Map<string, FirstReport>,
    now: number,
): Omit<ReplicaProgress, "evacuated"> {
    const transfer = state.transfers.find(candidate => candidate.rootDigest === rootDigest);
    const bytes = transfer === undefined ? 0 : bytesReceived(transfer);
    const chunks = transfer?.chunksHeld ?? 0;
    const key = `${state.process} ${rootDigest}`;
    const firstReport = firstReports.get(key) ?? { receivedAtMs: now, bytes, chunks };
    firstReports.set(key, firstReport);
    const seconds = (now - firstReport.receivedAtMs) / 1000;
    const chunksPerSecond = seconds === 0 ? 0 : (chunks - firstReport.chunks) / seconds;
    const missingChunks = (transfer?.chunksTotal ?? 0) - chunks;
    return {
        process: state.process,
        phase: state.servingDigest === rootDigest ? "serving" : phaseBeforeServing(state, transfer),
        chunksHeld: chunks,
        chunksTotal: transfer?.chunksTotal ?? 0,
        bytesFromOrigin: transfer?.bytesFromOrigin ?? 0,
        bytesFromDomain: transfer?.bytesFromDomain ?? 0,
        bytesFromRegion: transfer?.bytesFromRegion ?? 0,
        bytesFromOtherRegions: transfer?.bytesFromOtherRegions ?? 0,
        bytesPerSecond: seconds === 0 ? 0 : (bytes - firstReport.bytes) / seconds,
        remainingSeconds: chunksPerSecond === 0 ? 0 : missingChunks / chunksPerSecond,
        error: transfer?.error ?? "",
    };
}

/** Returns the phase of a replica that doesn't serve the version yet; `waiting` while it only serves an earlier one. */
function phaseBeforeServing(state: AgentState, transfer: TransferState | undefined): string {
    const phase = transfer === undefined ? "waiting" : replicaPhase(state);
    return phase === "serving" ? "waiting" : phase;
}

function formatReplica(replica: ReplicaProgress): string {
    const { process, phase, chunksHeld, chunksTotal, bytesPerSecond, remainingSeconds, error } = replica;
    const megabytes = (bytes: number) => (bytes / BYTES_PER_MB).toFixed(1);
    const sources = `origin ${megabytes(replica.bytesFromOrigin)}, domain ${megabytes(replica.bytesFromDomain)},` +
        ` region ${megabytes(replica.bytesFromRegion)}, other regions ${megabytes(replica.bytesFromOtherRegions)} MB`;
    const showsRate = phase === "fetching" && remainingSeconds > 0;
    const rate = showsRate ? `, ${megabytes(bytesPerSecond)} MB/s, about ${remainingSeconds.toFixed(0)} s left` : "";
    const suffix = error === "" ? "" : `, error: ${error}`;
    const place = replica.evacuated ? ", evacuated" : "";
    return `${process}: ${phase}${place}, ${chunksHeld}/${chunksTotal} chunks, ${sources}${rate}${suffix}`;
}

function timeoutError(servingCount: number, replicas: readonly ReplicaProgress[]): VError {
    const info = { exitCode: ExitCode.failed, replicas };
    return new VError(
        { name: "RolloutError", info },
        "the rollout timed out: %d of %d replicas serve the version; 'timeline --subject ROOT_DIGEST' shows why",
        servingCount,
        replicas.length,
    );
}
