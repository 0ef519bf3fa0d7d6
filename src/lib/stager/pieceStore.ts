/** Holds the pieces of the newest versions of a model's weights in memory, each verified against its digest. */
import { createHash } from "node:crypto";
import type { WeightManifest } from "../platform/index.js";

export interface HeldVersion {
    readonly model: string;
    readonly manifest: WeightManifest;
    readonly pieces: (Buffer | undefined)[];
    /** The last bytes that were received for a piece and don't match the manifest, by index of the piece. */
    readonly rejections: Map<number, Rejection>;
    /** Whether the same bytes were received so often for a piece that its digest in the manifest is likely wrong. */
    isContradicted: boolean;
}

export interface Rejection {
    readonly digest: string;
    /** How often the same bytes were received in succession. */
    readonly count: number;
}

/** Receptions of the same bytes for a piece that contradict its digest; a corrupt response may be repeated once. */
const CONTRADICTING_RECEPTIONS = 3;

export interface PieceStore {
    readonly model: string;
    /**
     * Returns the version's pieces; creates an empty set if the version isn't held yet. A manifest that differs from the
     * earlier one replaces it, and the pieces that match both are kept.
     */
    open(manifest: WeightManifest): HeldVersion;
    find(version: number): HeldVersion | undefined;
    /** Stores a received piece. Returns false if the bytes don't match its digest. */
    put(held: HeldVersion, piece: number, bytes: Buffer): boolean;
    /** Resolves when more than `knownCount` pieces of the version are held, or after `waitMs`. */
    waitForMore(version: number, knownCount: number, waitMs: number): Promise<void>;
}

/**
 * Keeps the newest version, the previous one, which slower replicas may still be fetching, and the newest complete one,
 * which the engine needs after a restart.
 */
const KEPT_VERSION_COUNT = 2;

export function createPieceStore(model: string): PieceStore {
    const versions = new Map<number, HeldVersion>();
    const listeners = new Set<() => void>();

    function open(manifest: WeightManifest): HeldVersion {
        const existing = versions.get(manifest.version);
        if (existing !== undefined && hasSameDigests(existing.manifest, manifest)) {
            existing.rejections.clear();
            existing.isContradicted = false;
            return existing;
        }
        const held: HeldVersion = {
            model,
            manifest,
            pieces: manifest.digests.map((digest, index) =>
                digest === existing?.manifest.digests[index] ? existing.pieces[index] : undefined
            ),
            rejections: new Map(),
            isContradicted: false,
        };
        versions.set(manifest.version, held);
        const ascendingVersions = [...versions.keys()].sort((a, b) => a - b);
        const newestComplete = ascendingVersions.findLast(version => isComplete(versions.get(version)));
        for (const version of ascendingVersions.slice(0, -KEPT_VERSION_COUNT)) {
            if (version !== newestComplete) versions.delete(version);
        }
        return held;
    }

    function put(held: HeldVersion, piece: number, bytes: Buffer): boolean {
        const digest = digestOf(bytes);
        if (digest !== held.manifest.digests[piece]?.toLowerCase()) {
            recordRejection(held, piece, digest);
            return false;
        }
        held.pieces[piece] ??= bytes;
        for (const listener of listeners) listener();
        return true;
    }

    function waitForMore(version: number, knownCount: number, waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                clearTimeout(timer);
                listeners.delete(check);
                resolve();
            };
            const check = () => {
                if (countHeld(versions.get(version)) > knownCount) finish();
            };
            const timer = setTimeout(finish, waitMs);
            listeners.add(check);
            check();
        });
    }

    return { model, open, find: version => versions.get(version), put, waitForMore };
}

function recordRejection(held: HeldVersion, piece: number, digest: string): void {
    const earlier = held.rejections.get(piece);
    const count = earlier?.digest === digest ? earlier.count + 1 : 1;
    held.rejections.set(piece, { digest, count });
    if (count >= CONTRADICTING_RECEPTIONS) held.isContradicted = true;
}

export function hasDigest(manifest: WeightManifest, piece: number, bytes: Buffer): boolean {
    return digestOf(bytes) === manifest.digests[piece]?.toLowerCase();
}

function digestOf(bytes: Buffer): string {
    return createHash("sha256").update(bytes).digest("hex");
}

function hasSameDigests(first: WeightManifest, second: WeightManifest): boolean {
    return first.digests.length === second.digests.length &&
        first.digests.every((digest, index) => digest === second.digests[index]);
}

export function isComplete(held: HeldVersion | undefined): boolean {
    return held !== undefined && countHeld(held) === held.pieces.length;
}

export function countHeld(held: HeldVersion | undefined): number {
    return held?.pieces.filter(piece => piece !== undefined).length ?? 0;
}
