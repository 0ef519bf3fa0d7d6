/** Test helper that starts an entry whose link to the fake store can be disturbed. */
import type { Router } from "../../lib/router/index.js";
import { type FaultProxy, startFaultProxy } from "../soak/faultProxy.js";
import { createVmSettings, startTestRouter } from "./routerHarness.js";

export interface LinkedEntry {
    readonly ip: string;
    readonly router: Router;
    /** Link of the entry to the store. */
    readonly link: FaultProxy;
}

export interface LinkedEntryOptions {
    readonly ip: string;
    readonly storeAddress: string;
    readonly peerPort: number;
    /** Addresses of all entries; the other ones are the entry's seeds. */
    readonly ips: readonly string[];
    /** Receives the functions that end the entry and its link. */
    readonly cleanups: (() => void | Promise<void>)[];
}

export async function startLinkedEntry(options: LinkedEntryOptions): Promise<LinkedEntry> {
    const { ip, storeAddress, peerPort, ips, cleanups } = options;
    const link = await startFaultProxy(() => storeAddress);
    const seeds = ips.filter(other => other !== ip);
    const router = await startTestRouter(createVmSettings(link.address, peerPort, { ip, seeds }));
    cleanups.push(link.close, router.stop);
    return { ip, router, link };
}
