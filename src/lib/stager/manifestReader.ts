/** Reads manifests from the origin until two readings of a version are the same. */
import VError from "verror";
import { createManifestReadings } from "../core/serving/index.js";
import type { EventLog } from "../observability/index.js";
import type { WeightManifest, WeightsOriginClient } from "../platform/index.js";

export interface ManifestReader {
    /** Throws if the origin fails, or if no two readings are the same; the next call takes the earlier ones into account. */
    read(origin: WeightsOriginClient, model: string, version: number): Promise<WeightManifest>;
}

/** Readings in one call; with few corrupt responses, two are sufficient. */
const MAX_READINGS_PER_CALL = 4;

export function createManifestReader(log: EventLog): ManifestReader {
    const readings = createManifestReadings();

    async function read(origin: WeightsOriginClient, model: string, version: number): Promise<WeightManifest> {
        for (let count = 1; count <= MAX_READINGS_PER_CALL; count++) {
            const manifest = await origin.readManifest(model, version);
            if (readings.record(manifest)) {
                // A later call needs two readings of its own.
                readings.forget(version);
                return manifest;
            }
            if (count > 1) log.warn("manifest readings differ", { model, version, count });
        }
        throw new VError("the origin's manifests of version %d differ from each other", version);
    }

    return { read };
}
