/**
 * Keeps the latest list of VMs that the platform returned. The list survives an outage of the platform. It
 * lags by up to a minute anyway and nothing depends on its speed, so it is read slowly once it is steady.
 */
import type { Vm, VmList } from "../clients/index.js";
import { createLog } from "../observability/index.js";
import { type PeriodicTask, startPeriodicTask } from "./periodicTask.js";

const log = createLog("node:membership");

/** A list without a change for this long is steady. Several VMs often start or leave one after another. */
const STABLE_AFTER_MS = 10_000;

/** Pause between two reads of a steady list, as a multiple of the usual one. */
const STABLE_INTERVAL_FACTOR = 4;

export interface MembershipTask extends PeriodicTask {
    readonly current: () => readonly Vm[];
}

export function startMembershipTask(vmList: VmList, pollMs: number): MembershipTask {
    let vms: readonly Vm[] = [];
    let changedAt = performance.now();

    async function refresh(): Promise<void> {
        try {
            const read = await vmList.read();
            if (read !== vms) changedAt = performance.now();
            vms = read;
        }
        catch (error) {
            log.info("the VM list is unavailable: %s", (error as Error).message);
        }
    }

    const isStable = () => performance.now() - changedAt > STABLE_AFTER_MS;
    const repeated = startPeriodicTask(refresh, () => isStable() ? STABLE_INTERVAL_FACTOR * pollMs : pollMs);
    return { ...repeated, current: () => vms };
}
