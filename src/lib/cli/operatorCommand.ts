/** Base of the operator commands: flags that select an entry, JSON output, and errors with exit codes. */
import { Command, Flags } from "@oclif/core";
import VError from "verror";
import { type AdminClient, type AdminResponse, createAdminClient } from "./adminClient.js";
import { ExitCode } from "./exitCode.js";

export const entryFlags = {
    entry: Flags.string({
        summary: "Address of an entry, for example http://192.0.2.10:8080.",
        env: "ENDIVEWELL_ENTRY",
        required: true,
    }),
    "token-file": Flags.string({
        summary: "File that holds the operator's token.",
        env: "ENDIVEWELL_TOKEN_FILE",
        required: true,
    }),
};

export const dryRunFlag = Flags.boolean({ summary: "Check the change and show the result without applying it." });

export abstract class OperatorCommand extends Command {
    static override readonly enableJsonFlag = true;

    /** Prints the error as JSON and rethrows it, because oclif would exit with code 0 after printing it. */
    protected override async catch(error: Error): Promise<never> {
        if (this.jsonEnabled()) this.logJson({ error: error.message, ...VError.info(error) });
        throw error;
    }

    protected createClient(flags: { readonly entry: string; readonly "token-file": string; }): AdminClient {
        if (!URL.canParse(flags.entry) || !/^https?:/.test(flags.entry)) {
            throw new VError({ name: "UsageError" }, "--entry takes an address such as http://192.0.2.10:8080");
        }
        return createAdminClient(flags.entry.replace(/\/+$/, ""), flags["token-file"]);
    }
}

interface ProblemBody {
    readonly title?: string;
    readonly detail?: string;
    readonly current?: unknown;
    readonly proposed?: unknown;
}

/** Returns the body of a successful response. Throws a VError named `AdminError` with the exit code for any other. */
export function expectSuccess(response: AdminResponse): unknown {
    if (response.status < 300) return response.body;
    const { title = `status ${response.status}`, detail = "", current, proposed } = response.body as ProblemBody;
    if (response.status === 412) {
        const info = { exitCode: ExitCode.conflict, current, proposed };
        const values = `now in force: ${JSON.stringify(current)}\nproposed: ${JSON.stringify(proposed)}`;
        throw new VError({ name: "AdminError", info }, "%s: %s\n%s", title, detail, values);
    }
    throw new VError({ name: "AdminError", info: { exitCode: exitCodeFor(response.status) } }, "%s: %s", title, detail);
}

function exitCodeFor(status: number): ExitCode {
    if (status === 400 || status === 422) return ExitCode.usage;
    return status === 503 ? ExitCode.unreachable : ExitCode.failed;
}
