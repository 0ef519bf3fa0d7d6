/** The pieces of a few versions of weights that an agent holds in memory, each verified against its digest. */
import { createHash } from "node:crypto";
import type { WeightManifest } from "../platform/index.js";

export interface HeldVersion {
    readonly model: string;
    readonly manifest: WeightManifest;
    readonly pieces: (Buffer | undefined)[];
}

export interface PieceStore {
    open(model: string, manifest: WeightManifest): HeldVersion;
    find(version: number): HeldVersion | undefined;
    /** Returns false if the bytes don't have the digest of the piece. */
    put(held: HeldVersion, piece: number, bytes: Buffer): boolean;
    /** Resolves when the number of pieces of a version grows beyond `known`, or after `waitMs`. */
    untilMore(version: number, known: number, waitMs: number): Promise<void>;
}

/** The newest version and the one before, which slower replicas may still fetch. */
const KEPT_VERSIONS = 2;

export function createPieceStore(): PieceStore {
    const versions = new Map<number, HeldVersion>();
    const listeners = new Set<() => void>();

    function open(model: string, manifest: WeightManifest): HeldVersion {
        const known = versions.get(manifest.version);
        if (known !== undefined) return known;
        const held = { model, manifest, pieces: manifest.digests.map(() => undefined) };
        versions.set(manifest.version, held);
        const oldest = [...versions.keys()].sort((a, b) => a - b);
        for (const version of oldest.slice(0, Math.max(0, oldest.length - KEPT_VERSIONS))) versions.delete(version);
        return held;
    }

    function put(held: HeldVersion, piece: number, bytes: Buffer): boolean {
        if (!hasDigest(held.manifest, piece, bytes)) return false;
        held.pieces[piece] ??= bytes;
        for (const listener of listeners) listener();
        return true;
    }

    function untilMore(version: number, known: number, waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const done = () => {
                clearTimeout(timer);
                listeners.delete(check);
                resolve();
            };
            const check = () => {
                if (countHeld(versions.get(version)) > known) done();
            };
            const timer = setTimeout(done, waitMs);
            listeners.add(check);
            check();
        });
    }

    return { open, find: version => versions.get(version), put, untilMore };
}

export function hasDigest(manifest: WeightManifest, piece: number, bytes: Buffer): boolean {
    return createHash("sha256").update(bytes).digest("hex") === manifest.digests[piece]?.toLowerCase();
}

export function countHeld(held: HeldVersion | undefined): number {
    return held?.pieces.filter(piece => piece !== undefined).length ?? 0;
}
