/**
 * Runs an entry or an agent with the settings file of the users' platform. The module imports nothing of the project's
 * own interface, so that the bundle for the platform stays small: each process of a large fleet loads it at its start.
 */
import { unwatchFile, watchFile } from "node:fs";
import { createEventLog, type EventLog } from "../observability/index.js";
import { createPlatformStore, loadVmSettings } from "../platform/index.js";
import type { Role } from "./roleNames.js";
import { waitForShutdownSignal } from "./shutdownSignal.js";

/** Runs the role with the platform's settings file until SIGTERM or SIGINT, then shuts it down gracefully. */
export async function runPlatformRole(role: Role, settingsFile: string): Promise<void> {
    const settings = loadVmSettings(settingsFile);
    const log = createEventLog({ process: settings.name, role, now: () => performance.now() });
    handleUncaughtExceptions(log);
    const store = createPlatformStore(settings.storeAddress);
    const runningRole = role === "agent" ?
        await (await import("../stager/index.js")).startStager(settings, store, log) :
        await (await import("../router/index.js")).startRouter(settings, store, log);
    const stopWatching = watchSettings(settingsFile, () => {
        try {
            runningRole.applyBounds(loadVmSettings(settingsFile).bounds);
            log.info("settings reloaded", {});
        }
        catch (error) {
            log.warn("settings rejected", { error: (error as Error).message });
        }
    });
    await waitForShutdownSignal();
    stopWatching();
    await runningRole.stop();
    log.flush();
}

/** The settings file is polled at this interval, because the platform may change it without sending SIGHUP. */
const SETTINGS_CHECK_INTERVAL_MS = 5000;

function watchSettings(file: string, reload: () => void): () => void {
    process.on("SIGHUP", reload);
    watchFile(file, { interval: SETTINGS_CHECK_INTERVAL_MS, persistent: false }, (current, previous) => {
        if (current.mtimeMs !== previous.mtimeMs && current.size > 0) reload();
    });
    return () => {
        process.off("SIGHUP", reload);
        unwatchFile(file);
    };
}

/**
 * Logs uncaught exceptions. A failed system call, such as a connection reset at an unexpected moment, must not end the
 * process. Any other exception is a fault of the program and ends it.
 */
function handleUncaughtExceptions(log: EventLog): void {
    process.on("uncaughtException", error => {
        log.warn("unexpected error", { error: error.message, stack: error.stack });
        log.flush();
        if ((error as NodeJS.ErrnoException).syscall === undefined) process.exit(1);
    });
}
