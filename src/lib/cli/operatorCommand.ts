/** What all operator commands share: the flags that name an entry, JSON output, and errors with exit codes. */
import { Command, Flags } from "@oclif/core";
import VError from "verror";
import { type AdminAnswer, type AdminConnection, createAdminConnection } from "./adminConnection.js";
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

export abstract class OperatorCommand extends Command {
    static override readonly enableJsonFlag = true;

    /** oclif prints errors as JSON and then reports success; this keeps the exit code. */
    protected override async catch(error: Error): Promise<never> {
        if (this.jsonEnabled()) this.logJson({ error: error.message, ...VError.info(error) });
        throw error;
    }

    protected connect(flags: { readonly entry: string; readonly "token-file": string; }): AdminConnection {
        if (!URL.canParse(flags.entry) || !/^https?:/.test(flags.entry)) {
            throw new VError({ name: "UsageError" }, "--entry takes an address such as http://192.0.2.10:8080");
        }
        return createAdminConnection(flags.entry.replace(/\/+$/, ""), flags["token-file"]);
    }
}

interface ProblemBody {
    readonly title?: string;
    readonly detail?: string;
    readonly current?: unknown;
    readonly proposed?: unknown;
}

/** Returns the body of a successful answer and throws a VError with the exit code for any other. */
export function expectSuccess(answer: AdminAnswer): unknown {
    if (answer.status < 300) return answer.body;
    const { title = `status ${answer.status}`, detail = "", current, proposed } = answer.body as ProblemBody;
    if (answer.status === 412) {
        const info = { exitCode: ExitCode.conflict, current, proposed };
        const values = `now in force: ${JSON.stringify(current)}\nproposed: ${JSON.stringify(proposed)}`;
        throw new VError({ name: "AdminError", info }, "%s: %s\n%s", title, detail, values);
    }
    throw new VError({ name: "AdminError", info: { exitCode: exitCodeFor(answer.status) } }, "%s: %s", title, detail);
}

function exitCodeFor(status: number): ExitCode {
    if (status === 400 || status === 422) return ExitCode.usage;
    return status === 503 ? ExitCode.unreachable : ExitCode.failed;
}
