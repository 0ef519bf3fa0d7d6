/** Runs a command line. Only the parts of the program that the command needs are loaded. */
import { ExitCode } from "./exitCode.js";
import { reportError } from "./reportError.js";
import { runRole, startedRole } from "./roles.js";

/** Returns the exit code. */
export async function run(argv: readonly string[]): Promise<number> {
    const start = startedRole(argv);
    if (start === undefined) return (await import("./commands.js")).runCommand(argv);
    try {
        await runRole(start);
        return ExitCode.success;
    }
    catch (error) {
        return reportError(error as Error);
    }
}
