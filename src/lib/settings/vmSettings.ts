/**
 * What a process learns from the VM that it runs on: who and where it is, where it listens, and the bounds that it
 * must keep. The platform's own settings file is translated into this shape.
 */

/** IP number and port. */
export type Address = string;

export interface RetryBounds {
    /** Further sends allowed per request, for all entries together. */
    readonly ratio: number;
    /** Further sends allowed in a window beside the ratio. */
    readonly slack: number;
    readonly windowMs: number;
}

export interface VmBounds {
    /** A leaving server may get work for this long after its leaving was acknowledged. */
    readonly drainMs: number;
    /** Time between SIGTERM and SIGKILL. */
    readonly graceMs: number;
    /** Time within which an acknowledged configuration must be in force. */
    readonly configurationMs: number;
    /** Time within which requests must start on newly named weights. */
    readonly weightsMs: number;
    readonly retries: RetryBounds;
}

export interface VmSettings {
    readonly name: string;
    readonly ip: string;
    readonly failureDomain: string;
    readonly region: string;
    /** Region of each failure domain. */
    readonly regions: ReadonlyMap<string, string>;
    /** Where callers connect; `undefined` on VMs that serve none. */
    readonly callerAddress: Address | undefined;
    /** Where the load balancer asks whether the process is ready. */
    readonly readyAddress: Address | undefined;
    /** First and last port for traffic between own processes; equal on all VMs. */
    readonly peerPorts: readonly [number, number];
    /** IP numbers of a few entries; they may be outdated. */
    readonly seeds: readonly string[];
    /** The backend server on this VM. */
    readonly backendAddress: Address | undefined;
    readonly backendService: string | undefined;
    readonly storeAddress: Address;
    /** Rate of the VM's own link. */
    readonly linkMbps: number;
    readonly bounds: VmBounds;
}
