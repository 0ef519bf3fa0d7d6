/**
 * Entry point of the bundle for the users' platform, which has the long-running roles and no operator commands:
 * `endivewell.cjs entry` and `endivewell.cjs agent`.
 */
import "./lib/cli/ignoreEarlySighup.js";
import VError from "verror";
import { ExitCode } from "./lib/cli/exitCode.js";
import { runPlatformRole } from "./lib/cli/platformRole.js";
import { reportError } from "./lib/cli/reportError.js";
import { ROLES } from "./lib/cli/roleNames.js";
import { SETTINGS_VARIABLE } from "./lib/platform/settingsVariable.js";

async function run(): Promise<number> {
    const role = ROLES.find(candidate => candidate === process.argv[2]);
    const settingsFile = process.env[SETTINGS_VARIABLE];
    try {
        if (role === undefined || settingsFile === undefined) {
            throw new VError(
                { name: "UsageError" },
                "expected one of %s and the variable %s",
                ROLES,
                SETTINGS_VARIABLE,
            );
        }
        await runPlatformRole(role, settingsFile);
        return ExitCode.success;
    }
    catch (error) {
        return reportError(error as Error);
    }
}

void run().then(code => process.exit(code));
