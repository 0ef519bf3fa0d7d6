/**
 * Polls the platform's list of VMs and keeps the latest one, also during an outage of the platform. The list lags by up
 * to a minute anyway and nothing needs it sooner, so it is polled less often once it is stable.
 */
import type { Vm, VmList } from "../clients/index.js";
import { createLog } from "../observability/index.js";
import { type PeriodicTask, startPeriodicTask } from "./periodicTask.js";

const log = createLog("node:membership");

/** A list that hasn't changed for this long is stable. Several VMs often start or leave one after another. */
const STABLE_AFTER_MS = 10_000;

/** Poll interval of a stable list, as a multiple of `pollMs`. */
const STABLE_INTERVAL_FACTOR = 4;

export interface MembershipTask extends PeriodicTask {
    readonly current: () => readonly Vm[];
}

export function startMembershipTask(vmList: VmList, pollMs: number): MembershipTask {
    let vms: readonly Vm[] = [];
    let changedAt = performance.now();

    async function refresh(): Promise<void> {
        try {
            // `read` returns the same array if the list hasn't changed.
            const newVms = await vmList.read();
            if (newVms !== vms) changedAt = performance.now();
            vms = newVms;
        }
        catch (error) {
            log.info("can't read the VM list, keeping the last one: %s", (error as Error).message);
        }
    }

    const isStable = () => performance.now() - changedAt > STABLE_AFTER_MS;
    const task = startPeriodicTask(refresh, () => isStable() ? STABLE_INTERVAL_FACTOR * pollMs : pollMs);
    return { ...task, current: () => vms };
}
