/**
 * Runs the oclif commands. Commands are registered explicitly, because the single executable has no files from which
 * oclif could discover them. Each command's module is loaded only when it runs, so that an agent doesn't hold the
 * operator commands in memory.
 */
import { type Command, Config, Errors, Flags, Interfaces, run as runOclif } from "@oclif/core";
import VError from "verror";
import { ExitCode } from "./exitCode.js";
import { reportError } from "./reportError.js";

export const VERSION = "0.1.0";

const JSON_FLAG = { json: Flags.boolean({ summary: "Print JSON.", helpGroup: "GLOBAL" }) };

type CommandClass = Command.Class;

const commandLoaders: Readonly<Record<string, () => Promise<CommandClass>>> = {
    agent: async () => (await import("./agentCommand.js")).AgentCommand,
    entry: async () => (await import("./entryCommand.js")).EntryCommand,
    evacuate: async () => (await import("./evacuateCommand.js")).EvacuateCommand,
    explain: async () => (await import("./explainCommand.js")).ExplainCommand,
    local: async () => (await import("./localCommand.js")).LocalCommand,
    "profile:create": async () => (await import("./profileCommands.js")).ProfileCreateCommand,
    "profile:change": async () => (await import("./profileCommands.js")).ProfileChangeCommand,
    "profile:retire": async () => (await import("./profileCommands.js")).ProfileRetireCommand,
    "profile:pause": async () => (await import("./profileCommands.js")).ProfilePauseCommand,
    "profile:resume": async () => (await import("./profileCommands.js")).ProfileResumeCommand,
    "profile:rollback": async () => (await import("./profileCommands.js")).ProfileRollbackCommand,
    "profile:history": async () => (await import("./profileCommands.js")).ProfileHistoryCommand,
    "profile:show": async () => (await import("./profileCommands.js")).ProfileShowCommand,
    "profile:list": async () => (await import("./profileCommands.js")).ProfileListCommand,
    publish: async () => (await import("./publishCommand.js")).PublishCommand,
    "settings:check": async () => (await import("./settingsCheckCommand.js")).SettingsCheckCommand,
    status: async () => (await import("./statusCommand.js")).StatusCommand,
    timeline: async () => (await import("./timelineCommand.js")).TimelineCommand,
    watch: async () => (await import("./watchCommand.js")).WatchCommand,
};

const TOPICS = {
    profile: { description: "Change profiles, control their rollouts and show their current values." },
    settings: { description: "Check settings files." },
};

const packageDescription = {
    name: "endivewell",
    version: VERSION,
    oclif: { bin: "endivewell", topicSeparator: " " as const, topics: TOPICS },
};

/** Parses the command line with oclif, runs the command and returns the exit code. */
export async function runCommand(argv: readonly string[]): Promise<number> {
    try {
        const config = new Config({
            root: process.cwd(),
            pjson: packageDescription as Interfaces.PJSON,
            plugins: new Map([["endivewell", await createPlugin(argv)]]),
        });
        await config.load();
        await runOclif([...argv], config);
        return ExitCode.success;
    }
    catch (error) {
        return reportOclifError(error as Error);
    }
}

/** Loads only the module of the command that runs; help and unknown commands need all of them. */
async function createPlugin(argv: readonly string[]): Promise<Interfaces.Plugin> {
    const ids = Object.keys(commandLoaders);
    const id = [argv.slice(0, 2).join(":"), argv[0] ?? ""].find(candidate => ids.includes(candidate));
    const neededIds = id === undefined ? ids : [id];
    const commands = await Promise.all(neededIds.map(async name => toLoadableCommand(name, await loadCommand(name))));
    return {
        _base: "",
        alias: "endivewell",
        commandIDs: neededIds,
        commands,
        commandsDir: undefined,
        findCommand: (name: string) => loadCommand(name),
        hasManifest: false,
        hooks: {},
        isRoot: true,
        load: async () => undefined,
        moduleType: "commonjs",
        name: "endivewell",
        options: { root: process.cwd() },
        pjson: packageDescription as Interfaces.PJSON,
        root: process.cwd(),
        topics: Object.entries(TOPICS).map(([name, topic]) => ({ name, ...topic })),
        type: "core",
        valid: true,
        version: VERSION,
    };
}

function loadCommand(name: string): Promise<CommandClass> {
    const load = commandLoaders[name];
    if (load === undefined) throw new VError({ name: "UsageError" }, "unknown command %s", name);
    return load();
}

function toLoadableCommand(id: string, command: CommandClass): Command.Loadable {
    return {
        ...command,
        id,
        summary: command.summary,
        description: command.description,
        examples: command.examples,
        args: addNames(command.args ?? {}),
        flags: addNames({ ...command.enableJsonFlag ? JSON_FLAG : {}, ...command.flags }),
        aliases: [],
        hiddenAliases: [],
        hidden: false,
        strict: command.strict ?? true,
        pluginName: "endivewell",
        pluginType: "core",
        load: async () => command,
    } as unknown as Command.Loadable;
}

/** Copies the key of each argument or flag to its `name`, where oclif's help expects it. */
function addNames<T extends object>(items: Record<string, T>): Record<string, T & { name: string; }> {
    return Object.fromEntries(Object.entries(items).map(([name, item]) => [name, { ...item, name }]));
}

function reportOclifError(error: Error): number {
    if (error instanceof Errors.ExitError) return error.oclif.exit ?? ExitCode.failed;
    const code = reportError(error);
    return error instanceof Errors.CLIError ? ExitCode.usage : code;
}
