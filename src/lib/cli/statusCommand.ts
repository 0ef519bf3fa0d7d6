/** `endivewell status`: shows the state of the system as one entry sees it. */
import { entryFlags, expectSuccess, OperatorCommand } from "./operatorCommand.js";
import { isInEvacuatedDomain, replicaPhase, sumEvacuatedDomains, type SystemStatus } from "./systemStatus.js";

export class StatusCommand extends OperatorCommand {
    static override readonly summary = "Show the entries and agents as one entry sees them.";
    static override readonly examples = ["<%= config.bin %> status", "<%= config.bin %> status --json"];
    static override readonly flags = entryFlags;

    async run(): Promise<SystemStatus> {
        const { flags } = await this.parse(StatusCommand);
        const status = expectSuccess(await this.createClient(flags).get("/status")) as SystemStatus;
        this.log(
            `${status.process}: configuration revision ${status.configurationRevision},` +
                ` confirmed ${status.configurationAgeMs} ms ago, ${status.requestsInProgress} requests in progress`,
        );
        for (const entry of status.entries) {
            const { configurationRevision, requestsInProgress } = entry.status;
            this.log(`${entry.process}: revision ${configurationRevision}, ${requestsInProgress} requests in progress`);
        }
        const evacuatedDomains = sumEvacuatedDomains(status);
        for (const { failureDomain, agents, requestsInProgress } of evacuatedDomains) {
            this.log(`${failureDomain}: evacuated, ${agents} agents, ${requestsInProgress} requests in progress`);
        }
        for (const agent of status.agents) {
            if (agent.state === undefined) {
                this.log(`${agent.address}: no report`);
                continue;
            }
            const { process, service, running, queued, leaving } = agent.state;
            const work = `${running} running, ${queued} queued`;
            const suffix = isInEvacuatedDomain(status, agent.state) ? ", evacuated" : leaving ? ", leaving" : "";
            this.log(
                `${process}: ${service}, ${replicaPhase(agent.state)}, ${work}, report ${agent.ageMs} ms old${suffix}`,
            );
        }
        for (const { process, address, reason } of status.unreachable) {
            this.logToStderr(`not reached: ${process} (${address}): ${reason}`);
        }
        return { ...status, evacuatedDomains };
    }
}
