/**
 * Settings that a process gets from the VM it runs on: its identity, location and addresses, and the time limits and
 * budgets that it must keep. `platform/settings` reads them from the platform's settings file.
 */

import type { ColdBounds } from "../core/serving/index.js";

/** IP address and port. */
export type Address = string;

export interface RetryBounds {
    /** Retries allowed for each request, for all entries together. */
    readonly ratio: number;
    /** Retries allowed in each window in addition to the ratio. */
    readonly slack: number;
    readonly windowMs: number;
}

export interface VmBounds {
    /** Time for which a server may still receive requests after its announcement to leave was acknowledged. */
    readonly drainMs: number;
    /** Time between SIGTERM and SIGKILL. */
    readonly graceMs: number;
    /** Time after the end of a fault from which on the other bounds hold again. */
    readonly stabilityMs: number;
    /** Time within which an acknowledged configuration must take effect. */
    readonly configurationMs: number;
    /** Time after a version of the weights is named within which requests must start on it. */
    readonly weightsMs: number;
    readonly retries: RetryBounds;
    /** `undefined` if requests to cold servers aren't bounded. */
    readonly cold: ColdBounds | undefined;
}

export interface VmSettings {
    readonly name: string;
    readonly ip: string;
    readonly failureDomain: string;
    readonly region: string;
    /** Region of each failure domain. */
    readonly regions: ReadonlyMap<string, string>;
    /** Address at which callers connect; `undefined` on VMs that serve no callers. */
    readonly callerAddress: Address | undefined;
    /** Address of the load balancer's readiness check. */
    readonly readyAddress: Address | undefined;
    /** First and last port for traffic between the processes of the system; the same on all VMs. */
    readonly peerPorts: readonly [number, number];
    /** IP addresses of some entries, which may be outdated. */
    readonly seeds: readonly string[];
    /** The backend server on this VM. */
    readonly backendAddress: Address | undefined;
    readonly backendService: string | undefined;
    readonly storeAddress: Address;
    /** Rate of the VM's network link. */
    readonly linkMbps: number;
    readonly bounds: VmBounds;
}
