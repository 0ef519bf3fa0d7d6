/** `npm run fleet`: starts a fleet of separate processes, prints their addresses and stops them on Ctrl-C. */
import { parseArgs } from "node:util";
import { waitForShutdownSignal } from "../lib/cli/shutdownSignal.js";
import { OPERATOR_TOKEN, startFleet } from "./fleet.js";

const { values } = parseArgs({
    options: {
        entries: { type: "string", default: "2" },
        agents: { type: "string", default: "8" },
        bookings: { type: "string", default: "3" },
    },
});

// The signal handler is installed before the fleet starts, so that Ctrl-C during startup also stops every process.
const stopRequested = waitForShutdownSignal();
const fleet = await startFleet({
    entries: Number(values.entries),
    modelAgentCount: Number(values.agents),
    bookingAgentCount: Number(values.bookings),
    ownProcessGroups: true,
});
const print = (line: string) => process.stdout.write(`${line}\n`);
print(`platform   ${fleet.platformUrl}`);
for (const entry of fleet.entries) print(`${entry.name}    ${entry.url}`);
for (const agent of [...fleet.modelAgents, ...fleet.bookingAgents]) print(`${agent.name}   ${agent.vm.address}`);
print(`client key ${fleet.directory}/keys/client-0, operator token ${OPERATOR_TOKEN}`);
print(`operator commands take --entry ${fleet.entries[0]?.url} --token-file ${fleet.directory}/operator.token`);
print("Ctrl-C stops the fleet.");
await stopRequested;
await fleet.stop();
print("all processes have stopped");
