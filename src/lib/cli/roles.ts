/**
 * Starts the two long-running roles. Their command lines are parsed with Node's own parser, so that these processes
 * don't load oclif, which takes about 15 MB. A command line that `parseRoleCommand` doesn't accept is passed to oclif,
 * which prints the help or the error.
 */
import { parseArgs } from "node:util";
import { setFlagsFromString } from "node:v8";
import { SETTINGS_VARIABLE } from "../platform/settingsVariable.js";
import { type Role, ROLES } from "./roleNames.js";
import { waitForShutdownSignal } from "./shutdownSignal.js";

export interface RoleCommand {
    readonly role: Role;
    readonly settingsFile: string;
    /** Whether the settings file is the platform's: the process then uses its services instead of the project's own. */
    readonly isOnPlatform: boolean;
}

/** Parses a command line that starts a role. Returns `undefined` if it isn't complete and correct. */
export function parseRoleCommand([command, ...args]: readonly string[]): RoleCommand | undefined {
    const role = ROLES.find(candidate => candidate === command);
    if (role === undefined) return undefined;
    const settingsFile = parseSettingsFlag(args);
    if (settingsFile !== undefined) return { role, settingsFile, isOnPlatform: false };
    const platformFile = args.length === 0 ? process.env[SETTINGS_VARIABLE] : undefined;
    return platformFile === undefined ? undefined : { role, settingsFile: platformFile, isOnPlatform: true };
}

/**
 * V8 flags that take effect when set at run time. The young generation stays at its initial size, because otherwise it
 * grows under load and shrinks late. Garbage collection and compilation favour memory over speed, and no baseline code
 * is kept in addition to the bytecode.
 */
const MEMORY_FLAGS = "--semi-space-growth-factor=1 --optimize-for-size --no-sparkplug";

/** Each thread of libuv's pool, which Node uses for file access, has its own allocator arena of 1 to 2 MB. */
const THREAD_POOL_SIZE = "1";

/** Runs the role until SIGTERM or SIGINT, then shuts it down gracefully. */
export async function runRole({ role, settingsFile, isOnPlatform }: RoleCommand): Promise<void> {
    if (isOnPlatform) {
        await (await import("./platformRole.js")).runPlatformRole(role, settingsFile);
        return;
    }
    setFlagsFromString(MEMORY_FLAGS);
    // Takes effect because nothing has used the pool yet; the operator's own setting takes precedence.
    process.env.UV_THREADPOOL_SIZE ??= THREAD_POOL_SIZE;
    const runningRole = await (role === "agent" ? startAgentRole(settingsFile) : startEntryRole(settingsFile));
    process.stdout.write(`${JSON.stringify(runningRole.ports)}\n`);
    await waitForShutdownSignal();
    await runningRole.stop();
}

function parseSettingsFlag(args: readonly string[]): string | undefined {
    try {
        return parseArgs({ args: [...args], options: { settings: { type: "string" } } }).values.settings;
    }
    catch {
        return undefined;
    }
}

async function startAgentRole(settingsFile: string) {
    const { agentSchema, loadSettings } = await import("../settings/index.js");
    const { startAgent } = await import("../agent/index.js");
    const agent = await startAgent(loadSettings(settingsFile, agentSchema));
    return { ports: { rpc: agent.port }, stop: agent.stop };
}

async function startEntryRole(settingsFile: string) {
    const { entrySchema, loadSettings } = await import("../settings/index.js");
    const { startEntry } = await import("../entry/index.js");
    const entry = await startEntry(loadSettings(settingsFile, entrySchema));
    return { ports: { http: entry.port, rpc: entry.rpcPort }, stop: entry.stop };
}
