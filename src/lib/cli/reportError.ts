/** Prints a command's error message without its stack trace and returns the exit code. */
import VError from "verror";
import { ExitCode } from "./exitCode.js";

export function reportError(error: Error): number {
    process.stderr.write(`${error.message}\n`);
    if (error.name === "SettingsError" || error.name === "UsageError") return ExitCode.usage;
    const { exitCode } = VError.info(error) as { exitCode?: number; };
    return exitCode ?? ExitCode.failed;
}
