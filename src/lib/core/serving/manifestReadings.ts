/**
 * Accepts a manifest of weights once two separate readings of it from the origin are the same. The origin may corrupt
 * any of its responses, and a manifest has no digest of its own. Copies that other processes hold prove nothing, because
 * they may all stem from one reading.
 */

/** Digest of a piece: SHA-256 in hexadecimal. */
export const DIGEST_PATTERN = /^[0-9a-f]{64}$/i;

/** A reading of the digests of a version's pieces. */
export interface ManifestReading {
    readonly version: number;
    readonly digests: readonly string[];
}

export interface ManifestReadings {
    /** Records a reading. Returns whether an earlier reading of the version is the same. */
    record(reading: ManifestReading): boolean;
    /** Forgets the readings of the version. */
    forget(version: number): void;
}

/** Limits of the memory; the oldest readings are dropped first. */
const MAX_VERSIONS = 4;
const MAX_READINGS_PER_VERSION = 8;

export function createManifestReadings(): ManifestReadings {
    const readingsByVersion = new Map<number, string[]>();

    return {
        record: ({ version, digests }) => {
            const reading = digests.join(" ").toLowerCase();
            const earlierReadings = readingsByVersion.get(version) ?? [];
            if (earlierReadings.includes(reading)) return true;
            readingsByVersion.set(version, [...earlierReadings, reading].slice(-MAX_READINGS_PER_VERSION));
            const excessVersions = [...readingsByVersion.keys()].slice(0, -MAX_VERSIONS);
            for (const excess of excessVersions) readingsByVersion.delete(excess);
            return false;
        },
        forget: version => void readingsByVersion.delete(version),
    };
}
