/** Starts a pool of fake engines that serves a published version, for benchmarks of live requests. */
import { randomBytes } from "node:crypto";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import {
    type Fleet,
    MODEL_SERVICE,
    OPERATOR_TOKEN,
    sendToEntry,
    startFleet,
    waitUntil,
    waitUntilServing,
} from "../harness/index.js";
import type { FleetOptions } from "../harness/index.js";
import { createObjectStore } from "../lib/clients/index.js";
import { publishDirectory } from "../lib/publish/index.js";

export type Scheduling = "agentQueues" | "entryQueues" | "fifo";

export const DESIGNS: readonly Scheduling[] = ["agentQueues", "entryQueues", "fifo"];

export interface Pool {
    readonly fleet: Fleet;
    readonly rootDigest: string;
}

export const PROFILE = "desk";

/** Starts a fleet and resolves when every entry serves the profile. */
export async function startPool(options: Partial<FleetOptions>, scheduling: Scheduling): Promise<Pool> {
    const fleet = await startFleet({
        entries: 2,
        modelAgentCount: 3,
        bookingAgentCount: 0,
        ...options,
        agentSettings: { scheduling, ...options.agentSettings },
        entrySettings: { scheduling, ...options.entrySettings },
    });
    try {
        return { fleet, rootDigest: await publishProfile(fleet) };
    }
    catch (error) {
        await fleet.stop();
        throw error;
    }
}

async function publishProfile(fleet: Fleet): Promise<string> {
    const [entry] = fleet.entries;
    if (entry === undefined) throw new Error("the fleet has no entry");
    const directory = join(fleet.directory, "published");
    await mkdir(directory);
    await writeFile(join(directory, "model.bin"), randomBytes(100_000));
    const store = createObjectStore({ url: fleet.platformUrl, timeoutMs: 5000 });
    const { rootDigest } = await publishDirectory({ directory, model: "m", store });
    const profile = { name: PROFILE, model: "m", rootDigest, service: MODEL_SERVICE };
    const change = await sendToEntry(entry, "PUT", `/admin/v1/profiles/${PROFILE}`, OPERATOR_TOKEN, profile);
    if (change.status !== 200) throw new Error(`profile change refused: ${change.status} ${change.body}`);
    await waitUntilServing(fleet, fleet.modelAgents, rootDigest, 20_000);
    await waitUntil("every entry serves the profile", async () => {
        const models = await Promise.all(
            fleet.entries.map(entry => sendToEntry(entry, "GET", "/v1/models", "client-0")),
        );
        return models.every(({ body }) => body.includes(PROFILE));
    }, 10_000);
    return rootDigest;
}
