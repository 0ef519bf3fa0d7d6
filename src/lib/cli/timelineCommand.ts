/** `endivewell timeline`: shows the events of all reachable processes, merged into one order. */
import { Flags } from "@oclif/core";
import { writeFile } from "node:fs/promises";
import VError from "verror";
import { type TimelineEvent, toChromeTrace } from "../core/index.js";
import { entryFlags, expectSuccess, OperatorCommand } from "./operatorCommand.js";

interface TimelineReport {
    readonly events: readonly TimelineEvent[];
    readonly unreachable: readonly { readonly process: string; readonly address: string; readonly reason: string; }[];
}

export class TimelineCommand extends OperatorCommand {
    static override readonly summary = "Show the events of all reachable processes, merged into one order.";
    static override readonly description =
        "Each process keeps its latest 4096 events. Processes that can't be reached are listed.";
    static override readonly examples = [
        "<%= config.bin %> timeline",
        "<%= config.bin %> timeline --subject REQUEST_ID",
        "<%= config.bin %> timeline --subject ROOT_DIGEST --trace rollout.json",
    ];
    static override readonly flags = {
        ...entryFlags,
        subject: Flags.string({
            summary: "Show only the events of a request identifier, a root digest or a profile.",
            default: "",
        }),
        trace: Flags.string({ summary: "Write the events to a file in the Chrome trace format." }),
    };

    async run(): Promise<TimelineReport> {
        const { flags } = await this.parse(TimelineCommand);
        const path = `/timeline?subject=${encodeURIComponent(flags.subject)}`;
        const report = expectSuccess(await this.createClient(flags).get(path)) as TimelineReport;
        if (flags.trace === undefined) report.events.forEach(event => this.log(formatEvent(event)));
        else await this.writeTrace(flags.trace, report.events);
        for (const { process, address, reason } of report.unreachable) {
            this.logToStderr(`not reached: ${process} (${address}): ${reason}`);
        }
        return report;
    }

    private async writeTrace(file: string, events: readonly TimelineEvent[]): Promise<void> {
        try {
            await writeFile(file, JSON.stringify(toChromeTrace(events)));
        }
        catch (error) {
            throw new VError({ name: "UsageError", cause: error as Error }, "can't write %s", file);
        }
        this.log(`wrote ${events.length} events to ${file}`);
    }
}

function formatEvent({ physicalMs, process, kind, subject, attributes }: TimelineEvent): string {
    const fields = Object.entries(attributes).map(([name, value]) => ` ${name}=${value}`).join("");
    return `${new Date(physicalMs).toISOString()} ${process} ${kind} ${subject}${fields}`;
}
