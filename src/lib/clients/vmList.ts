/** Adapter of the platform's list of VMs. The list lags; combine it with direct evidence before trusting it. */
import VError from "verror";
import * as z from "zod";
import { sendRequest } from "./http.js";

const vmSchema = z.object({
    name: z.string(),
    /** IP number and port of the process's gRPC server. */
    address: z.string(),
    role: z.enum(["entry", "agent"]),
    /** Pool that an agent belongs to; empty for entries. */
    service: z.string(),
    failureDomain: z.string(),
    region: z.string(),
    state: z.enum(["live", "leaving"]),
});

export type Vm = Readonly<z.infer<typeof vmSchema>>;

export interface VmList {
    /** Throws a VError named `VmListError` if the list can't be read. */
    read(): Promise<readonly Vm[]>;
}

export function createVmList(options: { readonly url: string; readonly timeoutMs: number; }): VmList {
    let known: readonly Vm[] = [];
    let etag = "";

    // An unchanged list is not sent again: a full one grows with the fleet and is read by every process.
    async function read(): Promise<readonly Vm[]> {
        const answer = await sendRequest({
            method: "GET",
            url: `${options.url}/vms`,
            headers: etag === "" ? {} : { "if-none-match": etag },
            compressed: true,
            timeoutMs: options.timeoutMs,
        });
        if (answer.status === 304) return known;
        if (answer.status !== 200) {
            throw new VError({ name: "VmListError" }, "the VM list answered with status %d", answer.status);
        }
        known = z.array(vmSchema).parse(JSON.parse(answer.body.toString("utf8")));
        etag = answer.headers.etag ?? "";
        return known;
    }

    return { read };
}
