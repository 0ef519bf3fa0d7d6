/** Holds the pieces of the newest weights versions in memory, each verified against its digest. */
import { createHash } from "node:crypto";
import type { WeightManifest } from "../platform/index.js";

export interface HeldVersion {
    readonly model: string;
    readonly manifest: WeightManifest;
    readonly pieces: (Buffer | undefined)[];
}

export interface PieceStore {
    /** Returns the version's pieces; creates an empty set if the version isn't held yet. */
    open(model: string, manifest: WeightManifest): HeldVersion;
    find(version: number): HeldVersion | undefined;
    /** Stores a piece. Returns false if the bytes don't match its digest. */
    put(held: HeldVersion, piece: number, bytes: Buffer): boolean;
    /** Resolves when more than `knownCount` pieces of the version are held, or after `waitMs`. */
    waitForMore(version: number, knownCount: number, waitMs: number): Promise<void>;
}

/** Keeps the newest version and the previous one, which slower replicas may still be fetching. */
const KEPT_VERSION_COUNT = 2;

export function createPieceStore(): PieceStore {
    const versions = new Map<number, HeldVersion>();
    const listeners = new Set<() => void>();

    function open(model: string, manifest: WeightManifest): HeldVersion {
        const existing = versions.get(manifest.version);
        if (existing !== undefined) return existing;
        const held = { model, manifest, pieces: manifest.digests.map(() => undefined) };
        versions.set(manifest.version, held);
        const ascendingVersions = [...versions.keys()].sort((a, b) => a - b);
        const excessCount = Math.max(0, ascendingVersions.length - KEPT_VERSION_COUNT);
        for (const version of ascendingVersions.slice(0, excessCount)) versions.delete(version);
        return held;
    }

    function put(held: HeldVersion, piece: number, bytes: Buffer): boolean {
        if (!hasDigest(held.manifest, piece, bytes)) return false;
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

    return { open, find: version => versions.get(version), put, waitForMore };
}

export function hasDigest(manifest: WeightManifest, piece: number, bytes: Buffer): boolean {
    return createHash("sha256").update(bytes).digest("hex") === manifest.digests[piece]?.toLowerCase();
}

export function countHeld(held: HeldVersion | undefined): number {
    return held?.pieces.filter(piece => piece !== undefined).length ?? 0;
}
