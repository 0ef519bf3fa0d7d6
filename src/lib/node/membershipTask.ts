/** Keeps the latest list of VMs that the platform returned. The list survives an outage of the platform. */
import { createLog } from "../observability/index.js";
import type { Vm, VmList } from "../platform/index.js";
import { type RepeatedTask, startRepeating } from "./repeat.js";

const log = createLog("node:membership");

export interface MembershipTask extends RepeatedTask {
    readonly current: () => readonly Vm[];
}

export function startMembershipTask(vmList: VmList, pollMs: number): MembershipTask {
    let vms: readonly Vm[] = [];

    async function refresh(): Promise<void> {
        try {
            vms = await vmList.read();
        }
        catch (error) {
            log.info("the VM list is unavailable: %s", (error as Error).message);
        }
    }

    const repeated = startRepeating(refresh, () => pollMs);
    return { ...repeated, current: () => vms };
}
