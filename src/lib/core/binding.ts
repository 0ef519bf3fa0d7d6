/**
 * Ties a request to the version that must answer it. The agent checks the binding at dispatch and at the
 * end; an answer during which the version or the load generation changed is void.
 */

export interface Binding {
    readonly rootDigest: string;
    readonly generation: number;
}

export interface ServedVersion {
    /** Empty while the engine serves none. */
    readonly digest: string;
    readonly generation: number;
}

/** Binds a request at dispatch; returns `undefined` if the engine doesn't serve the required version. */
export function bindRequest(rootDigest: string, served: ServedVersion): Binding | undefined {
    if (served.digest === "" || served.digest !== rootDigest) return undefined;
    return { rootDigest, generation: served.generation };
}

/** Tells whether the engine still serves exactly what the request was bound to. */
export function isBindingKept(binding: Binding, served: ServedVersion): boolean {
    return served.digest === binding.rootDigest && served.generation === binding.generation;
}
