/** A lease in the table service, held by this process. `core/lease` decides; this module reads and writes. */
import { match } from "ts-pattern";
import * as z from "zod";
import type { TableService, WriteCondition } from "../clients/index.js";
import { decideLease, isLeaseValid, type LeaseObservation, type LeaseRow } from "../core/index.js";

export type LeaseResult = "held" | "busy" | "unavailable";

export interface Lease {
    /** Takes the lease, or renews it if it is held. Takes over from a silent holder after the lease's time. */
    acquire(): Promise<LeaseResult>;
    /** Tells whether this process may still act under the lease. Check it right before each act. */
    valid(): boolean;
    /** Changes whenever the lease passed through other hands; 0 before it was first held. */
    epoch(): number;
    /** Frees the lease if it is held. Resolves also when the table can't be reached; the lease then expires. */
    release(): Promise<void>;
}

export interface LeaseOptions {
    readonly table: TableService;
    readonly tableName: string;
    readonly key: string;
    /** Unique for this process and each of its starts. */
    readonly token: string;
    /** Elapsed milliseconds, including the time in which the process was stopped. */
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
    /** When the last write that can have taken effect was sent. */
    let writtenAt: number | undefined;

    let epoch = 0;
    let lastStep: Promise<unknown> = Promise.resolve();

    /** Runs steps one after the other: two writes at a time would conflict with each other. */
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

    /** A renewal is a write too, so that waiting processes see another entity tag. */
    function renew({ etag, row }: HeldRow): Promise<LeaseResult> {
        return write(row, { kind: "unchanged", etag });
    }

    async function write(row: LeaseRow, condition: WriteCondition = { kind: "absent" }): Promise<LeaseResult> {
        const startedAt = now();
        const result = await table.write(tableName, key, row, condition);
        if (result.kind === "written") {
            held = { row, etag: result.etag };
            epoch = row.epoch;
            writtenAt = startedAt;
            return "held";
        }
        // After a conflict the lease may belong to another process. After a lost answer the entity tag is
        // unknown; the next call reads the row back. An earlier write stays good until its time is over.
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
        valid: () => isLeaseValid(writtenAt, now()),
        epoch: () => epoch,
    };
}

/**
 * Returns a clock of elapsed milliseconds that includes stops of the process and of the VM. The monotonic
 * clock of a suspended VM can stand still and the wall clock can be set back, so the larger step counts.
 */
export function createElapsedClock(monotonic: () => number, wall: () => number): () => number {
    let elapsed = 0;
    let lastMonotonic = monotonic();
    let lastWall = wall();
    return () => {
        const [atMonotonic, atWall] = [monotonic(), wall()];
        elapsed += Math.max(0, atMonotonic - lastMonotonic, atWall - lastWall);
        lastMonotonic = atMonotonic;
        lastWall = atWall;
        return elapsed;
    };
}
