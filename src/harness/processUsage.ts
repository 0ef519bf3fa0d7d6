/** Reads memory, processor time and network bytes of a process of a fleet. */
import { readFile, rm } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import type { Child } from "./childProcess.js";
import type { SocketTotals } from "./socketMeter.cjs";

export interface ProcessUsage extends SocketTotals {
    readonly rssMb: number;
    /** Part of the resident memory that belongs to this process alone: heap, stacks and compiled code. */
    readonly anonymousMb: number;
    /** Processor time used since the start of the process. */
    readonly cpuSeconds: number;
}

/** Clock ticks a second of /proc on Linux. */
const TICKS_PER_SECOND = 100;
const METER_TIMEOUT_MS = 2000;

/** Returns the environment that makes a process write its socket totals to the file. */
export function meterEnvironment(file: string): Record<string, string> {
    const meter = fileURLToPath(new URL("socketMeter.cjs", import.meta.url));
    return { NODE_OPTIONS: `--require ${meter}`, ENDIVEWELL_SOCKET_METER: file };
}

export async function readUsage(process: Child, meterFile: string): Promise<ProcessUsage> {
    const status = await readFile(`/proc/${process.pid}/status`, "utf8");
    const stat = await readFile(`/proc/${process.pid}/stat`, "utf8");
    const megabytes = (field: string) => Number(new RegExp(`${field}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / 1024;
    // The name in parentheses may hold spaces; the fields after it don't.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    return {
        rssMb: megabytes("VmRSS"),
        anonymousMb: megabytes("RssAnon"),
        cpuSeconds: ticks / TICKS_PER_SECOND,
        ...await readTotals(process, meterFile),
    };
}

async function readTotals(process: Child, file: string): Promise<SocketTotals> {
    await rm(file, { force: true });
    process.signal("SIGUSR2");
    const deadline = Date.now() + METER_TIMEOUT_MS;
    while (Date.now() < deadline) {
        const text = await readFile(file, "utf8").catch(() => "");
        if (text !== "") return JSON.parse(text) as SocketTotals;
        await sleep(10);
    }
    throw new Error(`${process.name} did not report its sockets`);
}
