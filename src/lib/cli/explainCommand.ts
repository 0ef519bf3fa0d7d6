/** `endivewell explain`: explains the outcome of a request from the logs of all processes. */
import { Args, Command } from "@oclif/core";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import VError from "verror";
import { createLogSearch, type Explanation, type LogLine } from "../observability/explain.js";

export class ExplainCommand extends Command {
    static override readonly enableJsonFlag = true;
    static override readonly summary = "Explain the outcome of a request from the logs of all processes.";
    static override readonly description =
        "Reads log files, or standard input if none is given, and prints the lines about the request, its servers" +
        " and its entry's dependencies in order, then a sentence that states the cause.";
    static override readonly examples = [
        "<%= config.bin %> explain 9c41d07be2a35f68 entry-1.log entry-2.log",
        "journalctl -o cat -u endivewell | <%= config.bin %> explain 9c41d07be2a35f68",
    ];
    static override readonly strict = false;
    static override readonly args = {
        id: Args.string({ description: "Identifier of the caller's attempt.", required: true }),
        // Otherwise oclif would read a missing argument from standard input.
        files: Args.string({ description: "Log files.", ignoreStdin: true }),
    };

    async run(): Promise<Explanation> {
        const { args, argv } = await this.parse(ExplainCommand);
        const files = argv.slice(1).map(String);
        const search = createLogSearch(args.id);
        if (files.length === 0) await readLines(process.stdin, search.add);
        for (const file of files) {
            try {
                await readLines(createReadStream(file), search.add);
            }
            catch (error) {
                throw new VError({ name: "UsageError", cause: error as Error }, "the log file %s can't be read", file);
            }
        }
        const explanation = search.explain();
        if (explanation === undefined) {
            throw new VError({ name: "NotFoundError" }, "no log line mentions the request %s", args.id);
        }
        for (const line of explanation.lines) this.log(formatLine(line));
        this.log(explanation.cause);
        return explanation;
    }
}

async function readLines(input: NodeJS.ReadableStream, onLine: (text: string) => void): Promise<void> {
    for await (const line of createInterface({ input })) onLine(line);
}

function formatLine({ time, process, event, ...fields }: LogLine): string {
    const { level: _, role: __, ...shownFields } = fields;
    return `${new Date(time).toISOString()} ${process} ${event} ${JSON.stringify(shownFields)}`;
}
