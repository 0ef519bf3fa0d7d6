/**
 * Binds a request to the model version that must answer it. The agent checks the binding at dispatch and again
 * when the answer ends. An answer is invalid if the version or the load generation changed in between.
 */

export interface VersionBinding {
    readonly rootDigest: string;
    readonly generation: number;
}

export interface ServedVersion {
    /** Root digest; empty while the engine serves no version. */
    readonly digest: string;
    readonly generation: number;
}

/** Returns the binding of a request at dispatch, or `undefined` if the engine doesn't serve the required version. */
export function bindRequest(rootDigest: string, served: ServedVersion): VersionBinding | undefined {
    if (served.digest === "" || served.digest !== rootDigest) return undefined;
    return { rootDigest, generation: served.generation };
}

/** Returns whether the engine still serves the version and the load generation that the request was bound to. */
export function isBindingValid(binding: VersionBinding, served: ServedVersion): boolean {
    return served.digest === binding.rootDigest && served.generation === binding.generation;
}
