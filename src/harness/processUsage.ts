/** Measures memory, CPU time and network bytes of a process of the fleet. */
import { readFile, rm } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import type { Child } from "./childProcess.js";
import type { SocketTotals } from "./socketMeter.cjs";

export interface ProcessUsage extends SocketTotals {
    readonly rssMb: number;
    /** Anonymous resident memory, which is private to the process: heap, stacks and compiled code. */
    readonly anonymousMb: number;
    /** User and system CPU time since the start of the process. */
    readonly cpuSeconds: number;
}

/** Clock ticks per second, the unit of CPU times in /proc on Linux. */
const CLOCK_TICKS_PER_SECOND = 100;
const METER_TIMEOUT_MS = 2000;

/** Returns environment variables that make a process write its socket totals to the file on SIGUSR2. */
export function meterEnvironment(file: string): Record<string, string> {
    const meter = fileURLToPath(new URL("socketMeter.cjs", import.meta.url));
    return { NODE_OPTIONS: `--require ${meter}`, ENDIVEWELL_SOCKET_METER: file };
}

export async function readUsage(process: Child, meterFile: string): Promise<ProcessUsage> {
    const status = await readFile(`/proc/${process.pid}/status`, "utf8");
    const stat = await readFile(`/proc/${process.pid}/stat`, "utf8");
    const readMegabytes = (field: string) => Number(new RegExp(`${field}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / 1024;
    // The process name in parentheses may contain spaces; the fields after it don't.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    return {
        rssMb: readMegabytes("VmRSS"),
        anonymousMb: readMegabytes("RssAnon"),
        cpuSeconds: ticks / CLOCK_TICKS_PER_SECOND,
        ...await requestSocketTotals(process, meterFile),
    };
}

async function requestSocketTotals(process: Child, file: string): Promise<SocketTotals> {
    await rm(file, { force: true });
    process.signal("SIGUSR2");
    const deadline = Date.now() + METER_TIMEOUT_MS;
    while (Date.now() < deadline) {
        const text = await readFile(file, "utf8").catch(() => "");
        if (text !== "") return JSON.parse(text) as SocketTotals;
        await sleep(10);
    }
    throw new Error(`${process.name} did not write its socket totals to ${file} within ${METER_TIMEOUT_MS} ms`);
}
