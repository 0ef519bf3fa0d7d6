/** Implements leases in rows of the table service. The rules are in `core/lease`; this module does the I/O. */
import { match } from "ts-pattern";
import * as z from "zod";
import type { TableService, WriteCondition } from "../clients/index.js";
import { decideLease, isLeaseValid, type LeaseObservation, type LeaseRow } from "../core/index.js";

export type LeaseResult = "held" | "busy" | "unavailable";

export interface Lease {
    /**
     * Acquires the lease, or renews it if it is held. Takes it over from a holder that hasn't renewed it for the
     * lease's duration (`LEASE_DURATION_MS`).
     */
    acquire(): Promise<LeaseResult>;
    /** Tells whether the lease is held and hasn't expired. Check it right before each action that it protects. */
    isValid(): boolean;
    /** Changes when another process has held the lease in between; 0 before it was first acquired. */
    epoch(): number;
    /** Releases the lease if it is held. Also resolves if the table service is unreachable; the lease then expires. */
    release(): Promise<void>;
}

export interface LeaseOptions {
    readonly table: TableService;
    readonly tableName: string;
    readonly key: string;
    /** Identifies the holder; unique for each start of each process. */
    readonly token: string;
    /** Elapsed milliseconds, including time during which the process was suspended. */
    readonly now: () => number;
}

const rowSchema = z.object({ holder: z.string(), epoch: z.number() });

interface HeldRow {
    readonly row: LeaseRow;
    readonly etag: string;
}

export function createLease({ key, now, table, tableName, token }: LeaseOptions): Lease {
    let held: HeldRow | undefined;
    let observation: LeaseObservation | undefined;
    /** When the last acknowledged write was sent; `undefined` after a conflict or a release. */
    let writtenAt: number | undefined;

    let epoch = 0;
    let lastStep: Promise<unknown> = Promise.resolve();

    /** Runs steps one after the other, because concurrent writes of this process would conflict. */
    function runSerially<T>(step: () => Promise<T>): Promise<T> {
        const result = lastStep.then(step);
        lastStep = result.catch(() => undefined);
        return result;
    }

    async function tryAcquire(): Promise<LeaseResult> {
        if (held !== undefined) return renew(held);
        const read = await table.read(tableName, key);
        if (read.kind !== "found" && read.kind !== "missing") return "unavailable";
        const found = read.kind === "found" ? { row: rowSchema.parse(read.value), etag: read.etag } : undefined;
        return match(decideLease(found, token, observation, now()))
            .with({ kind: "wait" }, decision => {
                observation = decision.observation;
                return "busy" as const;
            })
            .with({ kind: "held" }, ({ row }) => renew({ row, etag: found?.etag ?? "" }))
            .with({ kind: "take" }, ({ next }) => write(next, found && { kind: "unchanged", etag: found.etag }))
            .exhaustive();
    }

    /** Writes the unchanged row, so that waiting processes see a new entity tag. */
    function renew({ etag, row }: HeldRow): Promise<LeaseResult> {
        return write(row, { kind: "unchanged", etag });
    }

    async function write(row: LeaseRow, condition: WriteCondition = { kind: "absent" }): Promise<LeaseResult> {
        const sentAt = now();
        const result = await table.write(tableName, key, row, condition);
        if (result.kind === "written") {
            held = { row, etag: result.etag };
            epoch = row.epoch;
            writtenAt = sentAt;
            return "held";
        }
        // After a conflict another process may hold the lease. After a lost response the entity tag is unknown,
        // and the next call reads the row back; the last acknowledged write stays valid until it expires.
        held = undefined;
        if (result.kind === "conflict") writtenAt = undefined;
        return result.kind === "conflict" ? "busy" : "unavailable";
    }

    async function tryRelease(): Promise<void> {
        writtenAt = undefined;
        if (held === undefined) await readBack();
        if (held === undefined) return;
        const { etag, row } = held;
        held = undefined;
        await table.write(tableName, key, { ...row, holder: "" }, { kind: "unchanged", etag });
    }

    async function readBack(): Promise<void> {
        const read = await table.read(tableName, key);
        if (read.kind !== "found") return;
        const row = rowSchema.parse(read.value);
        if (row.holder === token) held = { row, etag: read.etag };
    }

    return {
        acquire: () => runSerially(tryAcquire),
        release: () => runSerially(tryRelease),
        isValid: () => isLeaseValid(writtenAt, now()),
        epoch: () => epoch,
    };
}

/**
 * Returns a clock of elapsed milliseconds that includes suspensions of the process and of the VM. The monotonic
 * clock can stop while a VM is suspended and the wall clock can be set back, so each step is the larger of both.
 */
export function createElapsedClock(monotonic: () => number, wall: () => number): () => number {
    let elapsedMs = 0;
    let lastMonotonic = monotonic();
    let lastWall = wall();
    return () => {
        const [monotonicNow, wallNow] = [monotonic(), wall()];
        elapsedMs += Math.max(0, monotonicNow - lastMonotonic, wallNow - lastWall);
        lastMonotonic = monotonicNow;
        lastWall = wallNow;
        return elapsedMs;
    };
}
