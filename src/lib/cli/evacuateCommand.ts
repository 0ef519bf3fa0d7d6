/** `endivewell evacuate`: starts and withdraws the evacuation of a failure domain. */
import { Args, Flags } from "@oclif/core";
import VError from "verror";
import { dryRunFlag, entryFlags, expectSuccess, OperatorCommand } from "./operatorCommand.js";

interface EvacuationResult {
    /** True if the change was only checked, not applied. */
    readonly dryRun?: boolean;
    /** True if the failure domain was in the requested state already. */
    readonly unchanged?: boolean;
    readonly name: string;
    readonly revision: number;
    /** Set if the VM list has no VM in the failure domain. */
    readonly warning?: string;
}

export class EvacuateCommand extends OperatorCommand {
    static override readonly summary = "Send no new work to a failure domain until the evacuation is withdrawn.";
    static override readonly description =
        "Requests that wait there are placed elsewhere; requests in progress end where they are. 'status' shows how" +
        " many remain.";
    static override readonly examples = [
        "<%= config.bin %> evacuate hall-2",
        "<%= config.bin %> evacuate hall-2 --withdraw",
    ];
    static override readonly args = { domain: Args.string({ description: "Failure domain.", required: true }) };
    static override readonly flags = {
        ...entryFlags,
        withdraw: Flags.boolean({ summary: "Withdraw the evacuation, so that the failure domain gets work again." }),
        "dry-run": dryRunFlag,
    };

    async run(): Promise<EvacuationResult> {
        const { args, flags } = await this.parse(EvacuateCommand);
        if (args.domain.trim() === "") throw new VError({ name: "UsageError" }, "name a failure domain");
        const path = `/evacuations/${encodeURIComponent(args.domain)}${flags["dry-run"] ? "?dryRun=true" : ""}`;
        const response = await this.createClient(flags).change(flags.withdraw ? "DELETE" : "PUT", path, "");
        const result = expectSuccess(response) as EvacuationResult;
        this.log(formatResult(result, flags.withdraw));
        if (result.warning !== undefined) this.logToStderr(`warning: ${result.warning}`);
        return result;
    }
}

function formatResult({ dryRun, unchanged, name, revision }: EvacuationResult, isWithdrawal: boolean): string {
    if (unchanged === true) return `${name} ${isWithdrawal ? "isn't" : "is already"} evacuated; nothing changed`;
    if (dryRun === true) return `${isWithdrawal ? "withdrawing" : "evacuating"} ${name} would get revision ${revision}`;
    return isWithdrawal ?
        `withdrew the evacuation of ${name} at revision ${revision}` :
        `evacuated ${name} at revision ${revision}; 'status' shows the requests still in progress there`;
}
