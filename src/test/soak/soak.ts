/**
 * A run of the fault soak: entries as separate processes between callers and fakes of the store and of backend servers.
 * Faults are drawn from a seed and injected from outside the entries; up to three overlap.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { STABILITY_WINDOW_MS } from "./bounds.js";
import { createConfigurationLedger } from "./configurationLedger.js";
import { createEntryProcesses } from "./entryProcesses.js";
import { createLedger } from "./ledger.js";
import { createNoticeLedger } from "./noticeLedger.js";
import { runCaller } from "./soakCallers.js";
import { createSoakFaults, type SoakFaults } from "./soakFaults.js";
import { createSoakOperator } from "./soakOperator.js";
import { createSoakRandom, type SoakRandom } from "./soakRandom.js";
import { createSoakServers } from "./soakServers.js";
import { startSoakStore } from "./soakStore.js";

export interface SoakOptions {
    readonly seed: number;
    readonly seconds: number;
    readonly entries: number;
    readonly servers: number;
    readonly callers: number;
    /** Only faults whose names contain one of these texts are injected; all if there are none. */
    readonly faultNames?: readonly string[];
    /** Called with a line of text for each injected fault and each process exit. */
    readonly log: (line: string) => void;
}

export interface SoakResult {
    readonly violations: readonly string[];
    readonly calls: number;
    readonly answered: number;
    readonly runs: number;
    readonly faults: number;
    /** Logs of the entries by name. */
    readonly entryLogs: ReadonlyMap<string, string>;
}

const INITIAL_KEY_COUNT = 3;

/** With more overlapping faults, no server or entry could serve calls. */
const MAX_ACTIVE_FAULTS = 3;

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const random = createSoakRandom(options.seed);
    const directory = mkdtempSync(join(tmpdir(), "endivewell-soak-"));
    const ledger = createLedger();
    const notices = createNoticeLedger();
    const configurations = createConfigurationLedger();
    const violations: string[] = [];
    const onViolation = (text: string) => void violations.push(text);
    let lastSerial = 0;
    const nextSerial = () => ++lastSerial;
    let isFinished = false;
    const store = await startSoakStore();
    const entries = await createEntryProcesses({
        count: options.entries,
        storeAddress: store.fake.address,
        directory,
        log: options.log,
        onViolation,
        onSpanEnd: notices.endSpan,
    });
    const operator = createSoakOperator(store, random, nextSerial);
    const servers = createSoakServers({ store, entries, operator, onViolation, ledger, notices, random, nextSerial });
    let faultCount = 0;
    try {
        for (let index = 0; index < INITIAL_KEY_COUNT; index++) operator.addKey();
        operator.writeConfiguration();
        for (let index = 0; index < options.servers; index++) await servers.add();
        await entries.start();
        const caller = {
            store,
            entries,
            servers,
            operator,
            ledger,
            notices,
            configurations,
            random,
            nextSerial,
            isFinished: () => isFinished,
            onViolation,
        };
        const callers = Array.from({ length: options.callers }, () => runCaller(caller));
        const faults = createSoakFaults({ store, entries, servers, operator, notices, random });
        faultCount = await injectFaults(faults, random, options);
        await sleep(STABILITY_WINDOW_MS);
        for (const entry of entries.all) {
            if (!await entries.becomesReady(entry)) onViolation(`${entry.name} isn't ready after the last fault`);
        }
        isFinished = true;
        entries.stopRestarting();
        await Promise.all(callers);
    }
    finally {
        isFinished = true;
        entries.close();
        servers.close();
        store.close();
        rmSync(directory, { recursive: true });
    }
    return {
        violations: [...violations, ...ledger.listViolations(), ...notices.listViolations()],
        faults: faultCount,
        entryLogs: entries.logs(),
        ...ledger.counts(),
    };
}

/** Injects faults for the length of the soak and waits until the last one has ended. Returns their number. */
async function injectFaults(faults: SoakFaults, random: SoakRandom, options: SoakOptions): Promise<number> {
    const { faultNames = [""] } = options;
    const names = Object.keys(faults).filter(name => faultNames.some(text => name.includes(text)));
    const startedAt = performance.now();
    const activeFaults = new Set<Promise<void>>();
    let faultCount = 0;
    for (;;) {
        const elapsedSeconds = (performance.now() - startedAt) / 1000;
        if (elapsedSeconds >= options.seconds) break;
        const name = random.pick(names);
        options.log(`${elapsedSeconds.toFixed(1)} s ${name}`);
        faultCount++;
        const fault = faults[name]?.().finally(() => activeFaults.delete(fault as Promise<void>));
        if (fault !== undefined) activeFaults.add(fault);
        if (activeFaults.size >= MAX_ACTIVE_FAULTS) await Promise.race(activeFaults);
        await sleep(random.between(200, 1200));
    }
    await Promise.all(activeFaults);
    return faultCount;
}
